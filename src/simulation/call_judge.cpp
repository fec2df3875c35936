#include "simulation/call_judge.h"

namespace pearspar::simulation {

void CallJudge::begun(const std::string& id, AskedCall call) {
  ++seen_.calls;
  if (!call.repeatable) ++seen_.unrepeatable;
  Call& mine = calls_[id];
  mine.asked = std::move(call);
  mine.known = true;
}

void CallJudge::ran(const std::string& node, const std::string& id, const std::string& method,
                    const std::string& target, const std::string& body) {
  ++seen_.runs;
  auto found = calls_.find(id);
  if (found == calls_.end() || !found->second.known)
    return broken_("UNASKED", node + " ran '" + id + "', which no client sent");
  Call& call = found->second;
  if (!call.sent) broken_("UNASKED", node + " ran " + id + ", which was never sent whole");
  if (method != call.asked.method || target != call.asked.target || body != call.asked.body)
    broken_("UNASKED", node + " ran " + id + " changed: " + method + " " + target);
  ++call.runs;
  if (call.asked.repeatable) return;
  if (call.runs > 1) broken_("TWICE", id + " ran again, at " + node);
  if (call.promised != 0)
    broken_("REFUSED", id + " ran at " + node + " after a " + std::to_string(call.promised));
}

void CallJudge::answers(const std::string& stamp, const std::string& id, bool good, const std::string& body) {
  given_[stamp] = {id, good, body};
}

void CallJudge::heard(const std::string& id, const Answer& answer) {
  Call& call = calls_[id];
  if (!answer.echo.empty() && answer.echo != id)
    broken_("MIXED", id + " got an answer that names " + answer.echo);
  bool promise = answer.status == 429 || answer.status == 503 || answer.status == 408 || answer.status == 421;
  if (promise && !call.asked.repeatable) {
    ++seen_.promises;
    call.promised = answer.status;
    if (call.runs > 0) broken_("REFUSED", id + " got " + std::to_string(answer.status) + " and had run");
  }
  bool refuses = answer.status >= 400 && answer.status < 500 && !promise;
  if (refuses && call.asked.proper && answer.stamp.empty())
    broken_("DENIED", id + " got " + std::to_string(answer.status) + " from nobody that ran it");
  if (answer.status < 200 || answer.status > 299) return;
  ++seen_.successes;
  if (call.runs == 0) broken_("MIXED", id + " got a success and ran nowhere");
  if (call.asked.gathers) return;  // its parts are judged where they are named
  auto given = given_.find(answer.stamp);
  if (given == given_.end()) return broken_("MIXED", id + " got a success without a node's stamp");
  if (given->second.id != id) broken_("MIXED", id + " got the answer to " + given->second.id);
  if (!given->second.good) broken_("MIXED", id + " got a success where the node had failed");
  if (call.asked.method == "HEAD") {
    if (!answer.length.empty() && answer.length != std::to_string(given->second.body.size()))
      broken_("MIXED", id + " asked for a head that names " + answer.length + " bytes");
    if (!answer.body.empty()) broken_("MIXED", id + " asked for a head and got a body");
    return;
  }
  if (given->second.body != answer.body)
    broken_("MIXED", id + " got another body than the node's: " + std::to_string(answer.body.size()) +
                         " bytes for " + std::to_string(given->second.body.size()));
}

}  // namespace pearspar::simulation

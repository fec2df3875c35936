// Clients in the rig that retrieve under an allowance: one key over all tries of a retrieval, each at another
// edge.
#include "simulation/cluster_parts.h"

namespace pearspar::simulation {
namespace {

constexpr double client_patience = 1.7;
constexpr int most_tries = 3;

}  // namespace

struct Cluster::Retrieval {
  std::string holder, key;
  bool gathers = false;
  int tries = 0;
  bool done = false;
};

void Cluster::retrieve() {
  world_.in(Duration(world_.uniform(0.5, 1.5) / options_.retrievals_per_s), [this] { retrieve(); });
  if (!retrieving_) return;
  const bool gathers = world_.chance(0.5);
  retrieve_one(options_.holders[world_.below(options_.holders.size())], gathers, 1);
}

void Cluster::retrieve_one(const std::string& holder, bool gathers, int copies) {
  auto retrieval = std::make_shared<Retrieval>();
  retrieval->holder = holder;
  retrieval->key = "k" + std::to_string(++next_key_);
  retrieval->gathers = gathers;
  auditor_.asked(holder, gathers ? "sweep" : "pull", retrieval->key);
  for (int i = 0; i < copies; ++i) try_retrieval(retrieval);
}

void Cluster::try_retrieval(const std::shared_ptr<Retrieval>& retrieval) {
  if (retrieval->done || retrieval->tries >= most_tries) return;
  ++retrieval->tries;
  Edge& edge = *edges_[world_.below(edges_.size())];
  auto again = [this, retrieval](double in) {
    world_.in(Duration(in), [this, retrieval] { try_retrieval(retrieval); });
  };
  if (!edge.process || !edge.process->gateway.ready()) return again(0.1);
  std::string id = (retrieval->gathers ? "g" : "s") + std::to_string(++next_request_);
  auto over = std::make_shared<bool>(false);
  ended_[id] = [this, retrieval, over, again](int status) {
    if (*over) return;
    *over = true;
    auditor_.answered(retrieval->key, status);
    if (status == 200)
      retrieval->done = true;
    else
      again(world_.uniform(0.02, 0.3));
  };
  world_.in(Duration(client_patience), [this, retrieval, over, again, id] {
    ended_.erase(id);
    if (*over) return;
    *over = true;
    auditor_.unanswered(retrieval->key);
    again(0.01);
  });
  ++totals_.asked;
  request(edge, id, retrieval->gathers ? "/g/x" : "/s/x",
          "Holder: " + retrieval->holder + "\r\nRetrieval-Key: " + retrieval->key + "\r\n",
          {retrieval->holder, retrieval->key});
}

std::vector<std::string> Cluster::audit(const std::vector<Auditor::Limit>& limits, bool exactly) const {
  int place = leader();
  if (place < 0) return {"nobody leads at the audit"};
  const auto& accounts = member(static_cast<std::size_t>(place))->state().quota_ledger();
  return auditor_.judge(accounts.lines(), limits, accounts.window(), exactly);
}

}  // namespace pearspar::simulation

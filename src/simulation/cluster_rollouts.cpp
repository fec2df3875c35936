// Roll-outs in the rig: operators order them, again until there is a definite answer, and read their state.
#include "simulation/cluster_parts.h"

namespace pearspar::simulation {
namespace {

constexpr double operator_patience_s = 1;
constexpr double retry_pause_s = 0.1;
// An operator ends an order at the third answer of these.
constexpr int max_client_errors = 3;

bool is_definite(int status) {
  return status == 200 || status == 400 || status == 409 || status == 412 || status == 413 || status == 422;
}

}  // namespace

std::size_t Cluster::order_rollout(const RolloutOrder& order) {
  auto sent = std::make_shared<SentRollout>();
  sent->order = order;
  sent->number = rollout_judge_.ordered(seconds(), order);
  sent->sent_at = seconds();
  push_rollout(sent);
  return sent->number;
}

// Only the time since the core was settled counts.
double Cluster::calm_seconds(double since) const { return seconds() - std::max(since, settled_at()); }

// Goes out unchanged until there is a definite answer.
void Cluster::push_rollout(const std::shared_ptr<SentRollout>& sent) {
  int number = ++sent->tries;
  auto next = [this, sent, number] {
    if (sent->over || sent->tries != number) return;
    rollout_judge_.still_waiting(seconds(), sent->number, calm_seconds(sent->sent_at));
    world_.in(Duration(retry_pause_s), [this, sent, number] {
      if (!sent->over && sent->tries == number) push_rollout(sent);
    });
  };
  std::string body = "{\"depot\":\"" + sent->order.service + "\",\"targetEdition\":\"" + sent->order.version +
                     "\",\"overS\":" + std::to_string(sent->order.over_s) + "}";
  call("", member_to_ask(), "POST", "/pearspar/rollouts", "", body,
       [this, sent, next](int status, const std::string&) {
         if (sent->over) return;
         sent->client_errors += status >= 400 && status < 500 && status != 408 && status != 429;
         if (!is_definite(status) && sent->client_errors < max_client_errors) return next();
         sent->over = true;
         rollout_judge_.answered(seconds(), sent->number, status, calm_seconds(sent->sent_at));
       });
  world_.in(Duration(operator_patience_s), next);
}

void Cluster::read_rollout(const std::string& service) {
  call("", member_to_ask(), "GET", "/pearspar/rollouts/" + service, "", "",
       [this, service](int status, const std::string& body) {
         if (status != 200 && status != 404) return;
         rollout_judge_.read(seconds(), service, status, between(body, "\"targetEdition\":\"", "\""));
       });
}

}  // namespace pearspar::simulation

// Operators in the rig: calls to members, changes that go out again until they are clear.
#include <charconv>

#include "simulation/cluster_parts.h"

namespace pearspar::simulation {
namespace {

constexpr double operator_patience = 1.0;
constexpr std::size_t most_orders = 8;
constexpr int most_tries = 60;
constexpr double acknowledged_within_s = 5;
constexpr double route_s = 0.003;  // more, for each route

}  // namespace

void Cluster::call(std::string from, std::size_t index, std::string method, std::string path,
                   std::string if_match, std::string body, Answer answer, double waits_s) {
  Time closes = waits_s > 0 ? world_.now() + Duration(waits_s) : Time::max();
  Duration way = net_.delay(from, cores_[index]->address);
  world_.in(way, [this, from, index, method, path, if_match, body, answer, closes] {
    Core& core = *cores_[index];
    if (!core.hears_callers || !net_.reaches(from, core.address)) return;
    if (!core.process) return answer(0, {});
    Core::Process& process = *core.process;
    auto taken = [&process, from, method, path, if_match, body, answer, closes] {
      if (process.life.world.now() > closes) return;
      if (process.stopping) return answer(503, {});
      control_plane::CallerId caller = ++process.next;
      process.askers[caller] = {from, answer, {method, path, body}};
      process.member->call(process.look.value_or(process.now()), caller, method, path, if_match, body);
    };
    if (process.look)
      process.calls.push_back(std::move(taken));
    else
      process.life.run(std::move(taken));
  });
}

std::size_t Cluster::member_to_ask() {
  std::size_t place = world_.below(cores_.size());
  while (cores_[place]->gone) place = (place + 1) % cores_.size();
  for (std::size_t i = 0; options_.ask_the_living && !cores_[place]->process && i < cores_.size(); ++i)
    place = (place + 1) % cores_.size();
  return place;
}

std::string Cluster::configuration(std::uint64_t revision, int author) const {
  std::string shards, services, more;
  for (int i = 0; i < options_.more_routes; ++i)
    more += ",{\"name\":\"m" + std::to_string(i) + "\",\"hostName\":\"more.example\",\"pathPrefix\":\"/" +
            std::to_string(i) + "/\",\"lineKind\":\"safe\",\"deadlineMs\":1500,\"depot\":\"plain\"}";
  std::string lookups =
      "{\"name\":\"k\",\"hostName\":\"h\",\"pathPrefix\":\"/k/\",\"lineKind\":\"safe\","
      "\"deadlineMs\":1500,\"targetMs\":150,\"precedence\":2,\"tries\":2,\"topN\":" +
      std::to_string(top_records) + ",\"minShare\":0.5,\"gatherFrom\":[";
  auto kind = [&](const std::string& name) {
    return options_.allowances.empty() || options_.holders.empty() ? std::string()
                                                                   : ",\"allowanceKind\":\"" + name + "\"";
  };
  for (const std::string& shard : shards_) shards += (shards.empty() ? "\"" : ",\"") + shard + "\"";
  if (options_.lookups) more += "," + lookups + shards + "]}";
  for (const std::string& service : services_)
    services += (services.empty() ? "" : ",") +
                ("{\"name\":\"" + service + "\",\"healthPath\":\"/health\",\"connLimit\":400}");
  return "{\"edition\":" + std::to_string(revision) + ",\"note\":\"operator " + std::to_string(author) +
         ", change " + std::to_string(next_change_) + std::string(options_.fat_note, '.') +
         "\",\"postalRoutes\":[{\"name\":\"g\",\"hostName\":\"h\",\"pathPrefix\":\"/g/"
         "\",\"lineKind\":\"safe\"," +
         "\"deadlineMs\":1500,\"targetMs\":150,\"precedence\":1,\"gatherFrom\":[" + shards +
         "],\"tries\":2,\"topN\":" + std::to_string(top_records) + ",\"minShare\":0.5" + kind("sweep") +
         "}," +
         "{\"name\":\"s\",\"hostName\":\"h\",\"pathPrefix\":\"/s/"
         "\",\"lineKind\":\"safe\",\"deadlineMs\":1500," +
         "\"targetMs\":300,\"precedence\":2,\"depot\":\"plain\",\"tries\":2" + kind("pull") + "}," +
         "{\"name\":\"u\",\"hostName\":\"h\",\"pathPrefix\":\"/u/"
         "\",\"lineKind\":\"unsafe\",\"deadlineMs\":1500," +
         "\"targetMs\":300,\"precedence\":2,\"depot\":\"plain\",\"tries\":2}" + more + "],\"depots\":[" +
         services + "],\"limits\":{}" +
         (options_.allowances.empty() ? "" : ",\"allowances\":" + options_.allowances) + "}";
}

void Cluster::change(int number) {
  Operator& who = *operators_[static_cast<std::size_t>(number)];
  if (who.busy) return;
  who.busy = true;
  Order order;
  order.author = number;
  order.on_top_of = who.seen;
  order.revision = who.seen + 1 + world_.below(3);
  std::shared_ptr<Sent> sent = make_order(order);
  sent->busy = &who;
  push(sent);
}

bool Cluster::order(const Order& order) {
  if (orders_open_ >= most_orders) return false;
  push(make_order(order));
  return true;
}

bool Cluster::order_everywhere(const Order& order) {
  if (orders_open_ >= most_orders) return false;
  std::shared_ptr<Sent> sent = make_order(order);
  for (std::size_t member = 0; member < cores_.size(); ++member)
    if (!cores_[member]->gone)
      call("", member, "PUT", "/pearspar/config", std::to_string(order.on_top_of), sent->text,
           [this, sent](int status, const std::string&) {
             if (status == 200 || status == 400 || status == 412)
               change_answered(sent->order, sent->text, status);
           });
  push(sent);
  return true;
}

std::uint64_t Cluster::newest_seen(int operator_number) const {
  return operators_[static_cast<std::size_t>(operator_number)]->seen;
}

std::shared_ptr<Cluster::Sent> Cluster::make_order(const Order& order) {
  auto sent = std::make_shared<Sent>();
  sent->order = order;
  ++next_change_;
  ++orders_open_;
  sent->text = configuration(order.revision, order.author);
  sent->sent = seconds();
  checker_.service_set(shards_);
  checker_.change_sent(order.on_top_of, order.revision, sent->text);
  return sent;
}

// Goes out unchanged until there is a clear answer; a late one to an earlier try counts too.
void Cluster::push(const std::shared_ptr<Sent>& sent) {
  const Order& order = sent->order;
  bool named = order.first >= 0 && (order.only_there || sent->tries == 0);
  std::size_t member = named ? static_cast<std::size_t>(order.first) : member_to_ask();
  if (cores_[member]->gone) member = member_to_ask();
  int number = ++sent->tries;
  // On a revision that is not in force yet it is no proper order: its time begins when that one is.
  bool proper = order.on_top_of <= checker_.newest_acknowledged();
  if (!proper) sent->sent = seconds();
  bool served = proper && core_serves(member);
  if (!served) sent->served_at = 0;
  if (served && seconds() >= settled_at()) ++sent->settled_tries;
  auto next = [this, sent, member, number, served] {
    if (sent->over || sent->tries != number) return;
    count_wait(sent, member, served);
    judge_wait(sent);
    if (number > most_tries && sent->order.every_s == 0) {
      ++totals_.unclear;
      sent->over = true;
      --orders_open_;
      if (sent->busy) sent->busy->busy = false;
      return;
    }
    double pause = sent->order.every_s > 0 ? sent->order.every_s : 0.05 + 0.02 * number;
    world_.in(Duration(pause), [this, sent, number] {
      if (!sent->over && sent->tries == number) push(sent);
    });
  };
  if (served && sent->served_at == 0) sent->served_at = seconds();
  call(order.from, member, "PUT", "/pearspar/config", std::to_string(order.on_top_of), sent->text,
       [this, sent, member, served, next](int status, const std::string&) {
         if (status != 200 && status != 400 && status != 412) return next();
         change_answered(sent->order, sent->text, status);
         if (sent->over) return;
         count_wait(sent, member, served);
         answered(sent, static_cast<int>(member), status);
       });
  world_.in(Duration(operator_patience), next);
}

void Cluster::change_answered(const Order& order, const std::string& text, int status) {
  checker_.change_answered(seconds(), order.on_top_of, order.revision, text, status);
  if (status == 200) lag_judge_.acknowledged(seconds(), order.revision);
}

void Cluster::answered(const std::shared_ptr<Sent>& sent, int member, int status) {
  judge_wait(sent);
  sent->over = true;
  --orders_open_;
  order_waited(sent->sent, sent->waited);
  ++(status == 200 ? totals_.changes_taken : totals_.changes_refused);
  Operator& who = *operators_[static_cast<std::size_t>(sent->order.author)];
  if (sent->busy) sent->busy->busy = false;
  if (status == 200) who.seen = std::max(who.seen, sent->order.revision);
  // Another has won: its revision is looked up before the next.
  if (status != 200) read_back();
  order_ended(member, status);
}

// From one try that a member could have answered to the end of the next counts; what goes by while it is
// asked at others does not.
void Cluster::count_wait(const std::shared_ptr<Sent>& sent, std::size_t member, bool served) {
  if (!served || !core_serves(member)) {
    sent->served_at = 0;
    return;
  }
  if (sent->served_at > 0) sent->waited += seconds() - sent->served_at;
  sent->served_at = seconds();
}

double Cluster::settled_at() const {
  return core_calm_since_.time_since_epoch().count() + in_touch_s + transfer_s();
}

// In a stretch in which the core is settled a proper order has its answer in time.
void Cluster::judge_wait(const std::shared_ptr<Sent>& sent) {
  double limit = acknowledged_within_s + route_s * (2 + options_.more_routes);
  // Its bytes, and those of the orders beside it, go to each member and each edge.
  if (options_.bandwidth > 0)
    limit += static_cast<double>(sent->text.size()) *
             static_cast<double>(cores_.size() + edges_.size() + most_orders) / options_.bandwidth;
  // What it builds on may never come: nobody can say so as long as nothing else does.
  double possible = checker_.stood_since(sent->order.on_top_of);
  double held = seconds() - std::max({sent->sent, settled_at(), possible});
  if (held > limit && sent->settled_tries > 2 && majority_serves())
    checker_.broken("ACKS", std::to_string(seconds() - 1000) + " s: an order on " +
                                std::to_string(sent->order.on_top_of) + " waits for " + std::to_string(held) +
                                " s, the core settled");
}

void Cluster::read_back() {
  double began = seconds();
  call("", world_.below(cores_.size()), "GET", "/pearspar/config", "", "",
       [this, began](int status, const std::string& body) {
         if (status == 404) checker_.read_nothing(began);
         if (status != 200) return;
         std::string number = between(body, "\"edition\":", ",");
         std::uint64_t revision = 0;
         auto [stop, error] = std::from_chars(number.data(), number.data() + number.size(), revision);
         if (error != std::errc() || stop != number.data() + number.size())
           return;  // the judge of answers has seen it
         checker_.read(began, seconds(), revision, body);
         for (auto& who : operators_) who->seen = std::max(who->seen, revision);
       });
}

}  // namespace pearspar::simulation

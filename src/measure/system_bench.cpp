// What the system's decisions cost a processor: a request and a gathered request through the dispatcher, a
// change pushed to many edges, a delta made and used, tokens.
#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <deque>

#include "control_plane/followers.h"
#include "dispatch/dispatcher.h"
#include "dispatch/merge.h"
#include "protocol/delta.h"
#include "retry_tokens/token_pool.h"

namespace pearspar {
namespace {

using dispatch::Duration;
using dispatch::Time;

std::string configuration_text(int revision, int shards, int routes) {
  std::string gather, services, more;
  for (int i = 0; i < shards; ++i) {
    gather += fmt::format("{}\"s{}\"", i > 0 ? "," : "", i);
    services += fmt::format(",{{\"name\":\"s{}\",\"connLimit\":400}}", i);
  }
  for (int i = 0; i < routes; ++i)
    more += fmt::format(R"(,{{"name":"m{0}","hostName":"more","pathPrefix":"/{0}/","lineKind":"safe",)"
                        R"("deadlineMs":1500,"depot":"p"}})",
                        i);
  return fmt::format(
      R"({{"edition":{},"postalRoutes":[{{"hostName":"h","pathPrefix":"/g/","lineKind":"safe",)"
      R"("deadlineMs":1500,)"
      R"("targetMs":150,"gatherFrom":[{}],"tries":2,"topN":200,"minShare":0.5}},)"
      R"({{"hostName":"h","pathPrefix":"/s/","lineKind":"safe","deadlineMs":1500,"targetMs":300,"depot":"p",)"
      R"("tries":2}}{}],"depots":[{{"name":"p","connLimit":400}}{}]}})",
      revision, gather, more, services);
}

catalog::ConfigurationPtr configuration(int revision, int shards, int routes) {
  catalog::Fault fault;
  return catalog::parse_configuration(configuration_text(revision, shards, routes), fault);
}

// Answers every call at once with records.
struct Hall : dispatch::NodeClient {
  std::deque<dispatch::CallId> out;
  dispatch::Dispatcher dispatcher{*this};
  std::string body;
  explicit Hall(int shards) {
    dispatcher.set_routes(std::make_shared<const dispatch::RouteTable>(configuration(1, shards, 0)));
    dispatcher.set_routes_confirmed_until(dispatch::Time::max());
    dispatcher.set_edges(1);
    dispatcher.set_retry_budget({0.2, 56, std::chrono::seconds(10)});
    for (int shard = -1; shard < shards; ++shard)
      for (int i = 0; i < 8; ++i) {
        catalog::Node node;
        node.service = shard < 0 ? "p" : fmt::format("s{}", shard);
        node.id = fmt::format("{}-{}", node.service, i);
        node.address = node.id + ":1";
        node.zone = i % 3 == 0 ? "a" : "b";
        dispatcher.load_balancer().update(node.id, &node);
      }
    dispatcher.load_balancer().set_home_zone("a");
    for (int i = 0; i < 3200; ++i) body += static_cast<char>(i * 37 + i / 256);
  }
  bool cancel(dispatch::CallId, bool) override { return false; }
  bool start(dispatch::CallId call, const dispatch::NodeState&, int, dispatch::NodeRequest, Time) override {
    out.push_back(call);
    return true;
  }
  void ask(Time now, std::string_view target) {
    dispatch::ClientRequest arrival;
    arrival.method = "GET";
    arrival.target = target;
    arrival.host = "h";
    arrival.id = "9c41d07be2a35f68";
    arrival.deadline_ms = 1500;
    arrival.head = "GET /g/x HTTP/1.1\r\nHost: h\r\nRequest-Id: 9c41d07be2a35f68\r\n";
    dispatch::ClientResponse answer;
    dispatcher.submit(now, arrival, answer);
    while (!out.empty()) {
      dispatch::CallId call = out.front();
      out.pop_front();
      dispatch::CallResult end;
      end.outcome = dispatch::CallOutcome::answered;
      end.status = 200;
      end.postmark = "3e1b.07.5a2.600.0.c9f2a4d1";
      end.body = body;
      dispatcher.call_ended(now + Duration(0.02), call, end);
    }
    dispatcher.advance(now + Duration(0.02));
    benchmark::DoNotOptimize(dispatcher.take_responses());
  }
};

void plain_request(benchmark::State& state) {
  Hall hall(4);
  Time now{Duration(100)};
  for (auto _ : state) hall.ask(now += Duration(0.002), "/s/x");
}
BENCHMARK(plain_request);

void gathered_request(benchmark::State& state) {
  Hall hall(static_cast<int>(state.range(0)));
  Time now{Duration(100)};
  for (auto _ : state) hall.ask(now += Duration(0.002), "/g/x");
}
BENCHMARK(gathered_request)->Arg(4)->Arg(12)->Arg(18);

struct Leader {
  Time now{Duration(100)};
  subscription::ClusterView view;
  control_plane::Followers followers{view};
  Leader(int edges, int nodes) {
    followers.open(now, 2, true);
    for (int i = 0; i < nodes; ++i) {
      protocol::Change change;
      change.kind = protocol::ChangeKind::node_updated;
      catalog::Node& node = change.update.node;
      node.id = fmt::format("i-{}", i);
      node.service = "d";
      node.address = fmt::format("10.0.{}.{}:80", i / 250, i % 250);
      followers.add(now, std::move(change));
    }
    for (int i = 0; i < edges; ++i)
      followers.on_hello(
          now, static_cast<control_plane::LinkId>(i + 1),
          {static_cast<protocol::Incarnation>(i + 1), protocol::FollowerKind::edge, "e", "z", {}, 0});
    followers.take_frames(now);
  }
};

void change_pushed(benchmark::State& state) {
  Leader leader(static_cast<int>(state.range(0)), 300);
  std::uint64_t number = 0;
  for (auto _ : state) {
    protocol::Change change;
    change.kind = protocol::ChangeKind::node_updated;
    change.update.node.id = "i-7";
    change.update.node.address = "10.0.0.7:80";
    change.update.node.slots = static_cast<int>(++number % 7);
    change.update.node.sequence = number;
    leader.followers.add(leader.now, std::move(change));
    leader.now += Duration(0.02);
    benchmark::DoNotOptimize(leader.followers.take_frames(leader.now));
  }
}
BENCHMARK(change_pushed)->Arg(8)->Arg(89)->Arg(1000);

void everything_told(benchmark::State& state) {
  Leader leader(1, static_cast<int>(state.range(0)));
  for (auto _ : state) {
    leader.followers.on_hello(leader.now, 1, {1, protocol::FollowerKind::edge, "e", "z", {}, 0});
    benchmark::DoNotOptimize(leader.followers.take_frames(leader.now));
  }
}
BENCHMARK(everything_told)->Arg(84)->Arg(300)->Arg(10000);

void delta_made(benchmark::State& state) {
  auto routes = static_cast<int>(state.range(0));
  std::string before = configuration_text(3, 12, routes), after = configuration_text(4, 12, routes + 1);
  for (auto _ : state) benchmark::DoNotOptimize(protocol::make_delta(before, after));
  state.counters["bytes"] = static_cast<double>(protocol::make_delta(before, after).size());
  state.counters["whole"] = static_cast<double>(after.size());
}
BENCHMARK(delta_made)->Arg(10)->Arg(300)->Arg(3000);

void delta_used(benchmark::State& state) {
  auto routes = static_cast<int>(state.range(0));
  std::string before = configuration_text(3, 12, routes), after = configuration_text(4, 12, routes + 1);
  std::string delta = protocol::make_delta(before, after);
  for (auto _ : state) benchmark::DoNotOptimize(protocol::apply_delta(before, delta));
}
BENCHMARK(delta_used)->Arg(300)->Arg(3000);

void configuration_read(benchmark::State& state) {
  std::string text = configuration_text(3, 12, static_cast<int>(state.range(0)));
  catalog::Fault fault;
  for (auto _ : state) benchmark::DoNotOptimize(catalog::parse_configuration(text, fault));
}
BENCHMARK(configuration_read)->Arg(10)->Arg(300)->Arg(3000);

void tokens_granted(benchmark::State& state) {
  retry_tokens::TokenPool pool;
  pool.set({218, std::chrono::seconds(10)});
  Time now{Duration(100)};
  for (auto _ : state) benchmark::DoNotOptimize(pool.grant(now += Duration(0.05), "d", 4));
}
BENCHMARK(tokens_granted);

}  // namespace
}  // namespace pearspar

BENCHMARK_MAIN();

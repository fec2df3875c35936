// What the fleet's protocol costs a broker, by the size of its table: one period's tick, one probe answered,
// one page of entries taken in.
#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <memory>

#include "peers/core.h"

namespace pearspar::peers {

// A core that holds so many members, all learnt from one proven peer.
struct Bench {
  std::unique_ptr<Core> core;
  net::Time now{net::Duration(1'700'000'000)};
  DatagramCodec codec{"bench"};
  net::Address peer{0x0a000002, 7000};
  std::uint64_t cookie = 0;
  std::uint64_t number = 0;

  wire::Body body() {
    wire::Body body;
    body.set_name("peer");
    body.set_run(7);
    body.set_incarnation(1);
    body.set_host(peer.host);
    body.set_port(peer.port);
    body.set_number(++number);
    body.set_echo(cookie);
    return body;
  }
  void take(wire::Body body) { core->receive(now, peer, codec.encode(body)); }
  static wire::News news(const std::string& name, const net::Address& address) {
    wire::News news;
    news.set_name(name);
    news.set_run(7);
    news.set_incarnation(1);
    wire::Word word;
    word.set_host(address.host);
    word.set_port(address.port);
    word.set_zone("a");
    word.set_phase(wire::ALIVE);
    word.SerializeToString(news.mutable_word());
    return news;
  }
  explicit Bench(int members) {
    Options options;
    options.fleet = "bench";
    options.bytes_per_s = 1u << 30;
    core = std::make_unique<Core>(options, Self{"self", 9, {0x0a000001, 7000}, {}, "a", "r", "1"}, 1, now);
    core->ready(now);
    wire::Body hello = body();
    hello.mutable_ping()->set_probe(1);
    hello.mutable_padding()->resize(300);
    take(hello);
    for (const Datagram& datagram : core->take_datagrams()) {
      wire::Body answer;
      if (codec.decode(datagram.bytes, answer) == DecodeResult::good) cookie = answer.cookie();
    }
    wire::Body first = body();
    *first.add_news() = news("peer", peer);
    take(first);
    for (int i = 2; i < members; ++i) {
      now += net::Duration(0.01);
      wire::Body page = body();
      *page.add_news() = news(fmt::format("b{:04}", i), {0x0a000100u + static_cast<std::uint32_t>(i), 7000});
      take(page);
      core->take_datagrams();
      core->take_events();
    }
    quiet();
  }
  void quiet() {
    for (int i = 0; i < 2000 && core->due() < now + net::Duration(60); ++i) {
      now = std::max(now, core->due());
      core->tick(now);
      core->take_datagrams();
      core->take_events();
      if (i > 50) break;
    }
  }
};

}  // namespace pearspar::peers

namespace {

using namespace pearspar;

void answer_a_probe(benchmark::State& state) {
  peers::Bench bench(static_cast<int>(state.range(0)));
  std::size_t answers = 0;
  for (auto _ : state) {
    state.PauseTiming();
    bench.now += net::Duration(0.01);
    peers::wire::Body ping = bench.body();
    ping.mutable_ping()->set_probe(5);
    ping.mutable_ping()->set_target("self");
    ping.set_members(bench.core->digest());
    const std::string bytes = bench.codec.encode(ping);
    state.ResumeTiming();
    bench.core->receive(bench.now, bench.peer, bytes);
    answers += bench.core->take_datagrams().size();
  }
  state.counters["answers_each"] =
      benchmark::Counter(static_cast<double>(answers), benchmark::Counter::kAvgIterations);
  state.counters["in_force"] = static_cast<double>(bench.core->in_force());
}
BENCHMARK(answer_a_probe)->Arg(10)->Arg(300)->Arg(1000);

void one_period(benchmark::State& state) {
  peers::Bench bench(static_cast<int>(state.range(0)));
  for (auto _ : state) {
    // All that falls due in 200 ms, nobody answering: probes, requests to helpers, suspicions.
    const net::Time until = bench.now + net::Duration(0.2);
    while (bench.core->due() <= until) {
      bench.now = std::max(bench.now, bench.core->due());
      bench.core->tick(bench.now);
      benchmark::DoNotOptimize(bench.core->take_datagrams());
    }
    bench.now = until;
  }
}
BENCHMARK(one_period)->Arg(10)->Arg(300)->Arg(1000)->Iterations(20);

void drop_a_strangers_datagram(benchmark::State& state) {
  peers::Bench bench(static_cast<int>(state.range(0)));
  const std::string noise(600, 'x');
  for (auto _ : state) bench.core->receive(bench.now, bench.peer, noise);
}
BENCHMARK(drop_a_strangers_datagram)->Arg(10)->Arg(1000);

void take_a_snapshot(benchmark::State& state) {
  peers::Bench bench(static_cast<int>(state.range(0)));
  int turn = 0;
  for (auto _ : state) {
    state.PauseTiming();
    bench.core->publish(bench.now, "turn", std::to_string(++turn));
    state.ResumeTiming();
    benchmark::DoNotOptimize(bench.core->snapshot(bench.now));
  }
}
BENCHMARK(take_a_snapshot)->Arg(10)->Arg(300)->Arg(1000);

}  // namespace

BENCHMARK_MAIN();

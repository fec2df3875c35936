// Tests of the engine on simulated time, with recording nodes and clients.
#include "engine/engine.h"

#include <gtest/gtest.h>

#include <functional>
#include <random>

#include "policy_harness.h"

namespace pearspar::engine {
namespace {

using namespace std::chrono_literals;

struct RecordingHost : Clients, Nodes, Members, PolicyLog {
  struct Sent {
    NodeId node = 0;
    PartId part = 0;
    int attempt = 0;
    std::string id;
    net::Time give_up_at{};
    bool ended = false;
  };
  struct Answered {
    Result::Kind kind;
    std::vector<std::string> values;
    net::Time at{};
  };
  void answered(ClientId client, const Result& result) override {
    std::vector<std::string> values;
    for (const PartValue& value : result.values) values.emplace_back(value.value);
    answers[client].push_back({result.kind, values, now});
    if (on_answer) on_answer(client);
  }
  void place(NodeId, const net::Address&, double) override { ++placed; }
  void retire(NodeId node) override { retired.push_back(node); }
  void send(NodeId node, std::span<const Call> call) override {
    ++calls;
    for (const Call& each : call)
      sent.push_back({node, each.part, each.attempt, std::string(each.id), each.give_up_at, false});
  }
  void withdraw(PartId) override {}
  // A cancelled attempt ends within the call.
  void give_up(PartId part, int attempt) override {
    for (Sent& each : sent)
      if (each.part == part && each.attempt == attempt) end(each, Outcome::cancelled);
  }
  void probe(NodeId) override {}
  void drop_idle(NodeId) override {}
  void fetch() override {}
  void subscribe(bool) override {}
  void write_line(bool fault, std::string_view) override { faults += fault ? 1 : 0; }
  void node_numbered(NodeId, std::string_view, const net::Address&) override { ++numbered_nodes; }

  void end(Sent& each, Outcome outcome, const std::string& value = {}) {
    if (std::exchange(each.ended, true)) return;
    engine->attempt_ended({each.part, each.attempt, each.node, outcome, 10ms, value, {}}, {});
  }

  Engine* engine = nullptr;
  net::Time now{};
  std::map<ClientId, std::vector<Answered>> answers;
  std::function<void(ClientId)> on_answer;
  std::vector<Sent> sent;
  std::vector<NodeId> retired;
  int calls = 0, placed = 0, numbered_nodes = 0, faults = 0;
};

membership::MemberList list_of(int nodes, int cells, std::int64_t revision = 1) {
  membership::MemberList list;
  list.revision = revision;
  list.complete = true;
  for (int i = 0; i < nodes; ++i) {
    membership::Entry entry;
    entry.id = "s-" + std::to_string(i);
    entry.address = {0x7f000001, static_cast<std::uint16_t>(1000 + i)};
    entry.cell = i % cells;
    list.entries.push_back(entry);
  }
  return list;
}

class EngineTest : public ::testing::Test {
 protected:
  explicit EngineTest(Settings s = testing::plain_settings()) : settings(std::move(s)) {
    engine =
        std::make_unique<Engine>(settings, Names{}, make_policy(settings, 3), Ports{host, host, host, host});
    host.engine = engine.get();
    engine->restore_members(now, list_of(6, settings.cells));
    engine->start(now);
  }
  QueryRequest query(ClientId client, std::vector<int> shards, net::Duration wait = 2s) {
    QueryRequest arrival;
    arrival.client = client;
    arrival.id = "q" + std::to_string(client);
    arrival.text = "text";
    arrival.cls = 1;
    arrival.deadline = now + wait;
    for (int shard : shards)
      arrival.parts.push_back({shard, 1.0 / static_cast<double>(shards.size()), 0, false, {}});
    return arrival;
  }
  Engine::Admission submit(QueryRequest arrival) { return engine->submit(now, std::move(arrival)); }
  void advance(net::Duration time) {
    net::Time end = now + time;
    while (true) {
      net::Time due = std::max(engine->due(), now);
      if (due > end) break;
      host.now = now = due;
      engine->tick(now);
      engine->end_turn(now);
    }
    host.now = now = end;
    engine->tick(now);
    engine->end_turn(now);
  }
  void serve_all() {
    for (std::size_t i = 0; i < host.sent.size(); ++i) {
      RecordingHost::Sent each = host.sent[i];
      host.end(host.sent[i], Outcome::ok, "v" + each.id);
    }
  }

  Settings settings;
  RecordingHost host;
  net::Time now{100s};
  std::unique_ptr<Engine> engine;
};

TEST_F(EngineTest, QueryIsSentAndAnsweredOnceWithItsValues) {
  EXPECT_EQ(host.numbered_nodes, 6);
  ASSERT_EQ(submit(query(1, {0, 1})), Engine::Admission::accepted);
  EXPECT_EQ(engine->open_parts(), 2u);
  advance(10ms);
  ASSERT_EQ(host.sent.size(), 2u);
  EXPECT_EQ(host.sent[0].id.substr(0, 3), "q1.");
  serve_all();
  advance(10ms);
  ASSERT_EQ(host.answers[1].size(), 1u);
  EXPECT_EQ(host.answers[1][0].kind, Result::Kind::whole);
  EXPECT_EQ(host.answers[1][0].values, (std::vector<std::string>{"vq1.0", "vq1.1"}));
  EXPECT_EQ(engine->open(), 0u);
  EXPECT_EQ(engine->open_parts(), 0u);
}

TEST_F(EngineTest, DuplicateIdAndFullTableAreRejected) {
  ASSERT_EQ(submit(query(1, {0})), Engine::Admission::accepted);
  QueryRequest same = query(2, {0});
  same.id = "q1";
  EXPECT_EQ(submit(std::move(same)), Engine::Admission::duplicate_id);
  ClientId client = 10;
  while (submit(query(client, {0, 1, 2, 3})) == Engine::Admission::accepted) ++client;
  EXPECT_EQ(engine->counters().turned_away, 1u);
  EXPECT_LE(engine->open() + engine->open_parts(), static_cast<std::size_t>(settings.max_open) + 5);
}

// The slot of an answered query is free for a query submitted within the callback.
TEST_F(EngineTest, NextQueryMayBeSubmittedWithinTheAnswer) {
  while (engine->open() + engine->open_parts() < static_cast<std::size_t>(settings.max_open))
    ASSERT_EQ(submit(query(1000 + engine->counters().queries, {0})), Engine::Admission::accepted);
  std::vector<Engine::Admission> results;
  host.on_answer = [&](ClientId client) {
    if (results.empty()) results.push_back(submit(query(client + 5000, {0})));
  };
  advance(50ms);
  serve_all();
  advance(50ms);
  ASSERT_FALSE(results.empty());
  EXPECT_EQ(results[0], Engine::Admission::accepted);
}

TEST_F(EngineTest, DisconnectedClientIsNotAnswered) {
  submit(query(1, {0}));
  advance(10ms);
  engine->client_left(now, 1);
  engine->client_left(now, 1);
  serve_all();
  advance(3s);
  EXPECT_TRUE(host.answers.empty());
  EXPECT_EQ(engine->counters().clients_left, 1u);
}

TEST_F(EngineTest, GoneAndUnlistedNodesAreRetired) {
  membership::MemberList changes;
  changes.revision = 2;
  changes.entries = {list_of(1, 1).entries[0]};
  changes.entries[0].phase = membership::Phase::gone;
  engine->members_told(now, changes);
  EXPECT_EQ(host.retired.size(), 1u);
  engine->members_told(now, list_of(3, 2, 3));
  EXPECT_EQ(host.retired.size(), 4u);  // s-3 to s-5; s-0 is back
}

// Randomized: each query is answered once by its deadline, whatever its nodes do.
TEST_F(EngineTest, EveryQueryIsAnsweredOnceByItsDeadline) {
  std::mt19937_64 random(7);
  std::map<ClientId, net::Time> deadlines;
  std::set<ClientId> left;
  ClientId next = 0;
  for (int i = 0; i < 4000; ++i) {
    if (random() % 2 == 0) {
      ClientId client = ++next;
      QueryRequest arrival =
          query(client, {static_cast<int>(random() % 8), static_cast<int>(8 - random() % 8) - 1},
                net::Duration(0.05 + static_cast<double>(random() % 100) / 100));
      if (arrival.parts[0].shard == arrival.parts[1].shard)
        arrival.parts.resize(1), arrival.parts[0].weight = 1;
      arrival.cls = static_cast<int>(random() % 2);
      net::Time deadline = arrival.deadline;
      if (submit(std::move(arrival)) == Engine::Admission::accepted) deadlines[client] = deadline;
    }
    advance(net::Duration(static_cast<double>(random() % 10) / 1000));
    for (std::size_t n = random() % 4; n > 0 && !host.sent.empty(); --n) {
      RecordingHost::Sent& each = host.sent[random() % host.sent.size()];
      constexpr Outcome outcomes[] = {Outcome::ok,
                                      Outcome::ok,
                                      Outcome::ok,
                                      Outcome::error,
                                      Outcome::refused,
                                      Outcome::reset,
                                      Outcome::connect_failed};
      host.end(each, outcomes[random() % 7], "v");
    }
    for (RecordingHost::Sent& each : host.sent)
      if (each.give_up_at <= now) host.end(each, Outcome::timeout);
    std::erase_if(host.sent, [](const RecordingHost::Sent& each) { return each.ended; });
    if (random() % 50 == 0 && next > 0) {
      ClientId client = 1 + random() % next;
      if (host.answers.count(client) == 0 && deadlines.count(client) != 0) {
        engine->client_left(now, client);
        left.insert(client);
      }
    }
  }
  advance(5s);
  EXPECT_EQ(engine->open(), 0u);
  EXPECT_EQ(engine->open_parts(), 0u);
  for (const auto& [client, deadline] : deadlines) {
    if (left.count(client) != 0) {
      EXPECT_EQ(host.answers.count(client), 0u);
      continue;
    }
    ASSERT_EQ(host.answers[client].size(), 1u);
    EXPECT_LE(host.answers[client][0].at, deadline);
  }
  const Counters& c = engine->counters();
  EXPECT_EQ(c.queries, c.whole + c.partial + c.refused + c.failed + c.clients_left + c.out_of_time);
  EXPECT_EQ(c.out_of_time, 0u);
}

}  // namespace
}  // namespace pearspar::engine

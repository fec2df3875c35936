// The components below the cluster: configurations, nodes, updates, codecs, the store in a real directory,
// the settings.
#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <random>
#include <sstream>

#include "catalog/configuration.h"
#include "catalog/node_list.h"
#include "control_plane/replicated_state.h"
#include "process_settings/settings.h"
#include "protocol/messages.h"
#include "protocol/raft_codec.h"
#include "storage/lmdb_store.h"
#include "subscription/cluster_view.h"
#include "subscription/configuration_arrival.h"
#include "subscription/follower.h"
#include "temp_folder.h"

namespace pearspar {

namespace {

const std::string good_config =
    R"({"edition":7,"postalRoutes":[{"name":"r","hostName":"h","pathPrefix":"/a/",)"
    R"("lineKind":"safe","deadlineMs":1200,)"
    R"("targetMs":120,"precedence":1,"gatherFrom":["x","y"],"tries":2,"topN":200,"minShare":0.6},)"
    R"({"name":"s","hostName":"h","pathPrefix":"/b/","lineKind":"unsafe","deadlineMs":5,"depot":"x"}],)"
    R"("depots":[{"name":"x","connLimit":68},{"name":"y"}],"limits":{"maxBodyBytes":1000}})";

std::string with(std::string text, const std::string& from, const std::string& to) {
  std::size_t at = text.find(from);
  CPPUNIT_ASSERT_MESSAGE(from, at != text.npos);
  return text.replace(at, from.size(), to);
}

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

void write_file(const std::string& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

}  // namespace

class PartsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PartsTest);
  CPPUNIT_TEST(configurationIsParsed);
  CPPUNIT_TEST(invalidConfigurationNamesTheFaultyKey);
  CPPUNIT_TEST(heartbeatIsValidated);
  CPPUNIT_TEST(closingAndRetiredNodesNeverReopen);
  CPPUNIT_TEST(newNodeDisplacesTheOldOneAtItsAddress);
  CPPUNIT_TEST(messagesRoundTrip);
  CPPUNIT_TEST(corruptMessagesAreReadSafely);
  CPPUNIT_TEST(updatesApplyInOrderAndNeverGoBack);
  CPPUNIT_TEST(incompleteListRemovesNoNodes);
  CPPUNIT_TEST(lateConfigurationIsReportedOnce);
  CPPUNIT_TEST(configurationAgeCountsFromTheMember);
  CPPUNIT_TEST(followerTellsByWhichWayItsConfigurationCame);
  CPPUNIT_TEST(storeReturnsWhatWasSaved);
  CPPUNIT_TEST(storeRejectsAnotherFormat);
  CPPUNIT_TEST(tornWriteKeepsThePreviousCommit);
  CPPUNIT_TEST(settingsErrorsNameFileLineAndKey);
  CPPUNIT_TEST(changeOnAnotherBaseHasNoEffect);
  CPPUNIT_TEST_SUITE_END();

 public:
  void configurationIsParsed() {
    catalog::Fault fault;
    auto read = catalog::parse_configuration(good_config, fault);
    CPPUNIT_ASSERT_EQUAL(std::string(), fault.text());
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{7}, read->revision);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read->routes[0].shards.size());
    CPPUNIT_ASSERT(!read->routes[1].safe);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, read->limits.body_bytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{16384}, read->limits.header_bytes);
    CPPUNIT_ASSERT_EQUAL(good_config, read->text);
  }

  void invalidConfigurationNamesTheFaultyKey() {
    const std::pair<std::string, std::string> cases[] = {
        {good_config.substr(0, 200), "line 1, column"},
        {good_config + "x", "line 1, column"},
        {"[]", "is no object"},
        {with(good_config, "[\"x\",\"y\"]", "[\"x\",\"z\"]"), "postalRoutes[0].gatherFrom: names no depot"},
        {with(good_config, "[\"x\",\"y\"]", "[\"x\",\"x\"]"), "postalRoutes[0].gatherFrom: names 'x' twice"},
        {with(good_config, "\"/b/\"", "\"/a/\""), "postalRoutes[1].pathPrefix: stands twice"},
        {with(good_config, "\"deadlineMs\":5", "\"deadlineMs\":0"), "postalRoutes[1].deadlineMs: is 0"},
        {with(good_config, "\"depot\":\"x\"", "\"splitList\":[{\"depot\":\"x\",\"share\":0}]"),
         "postalRoutes[1].splitList: the shares add up to 0"},
        {with(good_config, "\"edition\":7", "\"edition\":\"7\""), "edition: is no number"},
        {with(good_config, "\"edition\":7,", ""), "edition: is missing"},
        {with(good_config, "\"lineKind\":\"safe\"", "\"lineKind\":\"sure\""), "postalRoutes[0].lineKind"},
        {with(good_config, "\"/a/\"", "\"/a\""), "postalRoutes[0].pathPrefix"},
        {std::string(40, '[') + std::string(40, ']'), "nested too deeply"},
    };
    for (const auto& [text, what] : cases) {
      catalog::Fault fault;
      CPPUNIT_ASSERT_MESSAGE(text, !catalog::parse_configuration(text, fault));
      CPPUNIT_ASSERT_MESSAGE(fault.text() + " / " + what, fault.text().find(what) != std::string::npos);
    }
  }

  void heartbeatIsValidated() {
    catalog::Fault fault;
    const std::string good =
        R"({"depot":"d","address":"1.2.3.4:5","nodeState":"closing_out","coldLeftMs":500,"callSeq":4})";
    auto node = catalog::parse_heartbeat("i-1", good, catalog::Time(catalog::Duration(10)), fault);
    CPPUNIT_ASSERT(node && node->closing && node->sequence == 4);
    CPPUNIT_ASSERT_EQUAL(10.5, node->cold_until.time_since_epoch().count());
    for (const char* broken : {"\"depot\":\"d\",", "\"callSeq\":4", "closing_out", "\"1.2.3.4:5\""})
      CPPUNIT_ASSERT(!catalog::parse_heartbeat("i-1", with(good, broken, ""), {}, fault));
  }

  void closingAndRetiredNodesNeverReopen() {
    using PutResult = catalog::NodeList::PutResult;
    catalog::NodeList list;
    catalog::Node node{"a", "d", "1:1", "z", "v", 1, false, 1, {}};
    CPPUNIT_ASSERT(list.put(node) == PutResult::changed);
    node.sequence = 2;
    CPPUNIT_ASSERT(list.put(node) == PutResult::unchanged);
    node.closing = true;
    node.sequence = 3;
    CPPUNIT_ASSERT(list.put(node) == PutResult::changed);
    node.closing = false;
    node.sequence = 4;  // delayed, despite its higher number
    CPPUNIT_ASSERT(list.put(node) == PutResult::stale);
    CPPUNIT_ASSERT(list.retire("a"));
    CPPUNIT_ASSERT(list.put(node) == PutResult::stale);
    CPPUNIT_ASSERT(list.all().empty());
  }

  void newNodeDisplacesTheOldOneAtItsAddress() {
    catalog::NodeList list;
    list.put({"a", "d", "1:1", "z", "v", 1, false, 1, {}});
    std::string displaced;
    list.put({"b", "e", "1:1", "z", "v", 1, false, 1, {}}, &displaced);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), displaced);
    CPPUNIT_ASSERT(!list.find("a") && list.find("b"));
  }

  void messagesRoundTrip() {
    raft::Message append;
    append.kind = raft::MessageKind::install_snapshot;
    append.from = 5;
    append.term = 9;
    append.entries.push_back({3, 9, raft::EntryKind::membership, "data", {{{7, "a:1"}, {8, "b:2"}}, 3}});
    append.snapshot = {2, 8, {{{7, "a:1"}}, 1}, "state"};
    auto back = protocol::unpack(protocol::pack(append));
    CPPUNIT_ASSERT(back);
    const auto& message = std::get<raft::Message>(*back);
    CPPUNIT_ASSERT(message.entries == append.entries && message.snapshot.state == "state" &&
                   message.term == 9);

    protocol::StateSnapshot snapshot;
    snapshot.at = {4, 17};
    snapshot.complete = false;
    snapshot.revision = 7;
    snapshot.configuration = good_config;
    snapshot.nodes.push_back({{"a", "d", "1:1", "z", "v", 3, true, 9, {}}, 250});
    snapshot.retired = {"b", "c"};
    auto unpacked_snapshot = protocol::unpack(protocol::pack(snapshot));
    CPPUNIT_ASSERT(unpacked_snapshot);
    const auto& again = std::get<protocol::StateSnapshot>(*unpacked_snapshot);
    CPPUNIT_ASSERT(again.at == snapshot.at && again.nodes[0].cold_ms == 250 && again.nodes[0].node.closing);
    CPPUNIT_ASSERT(again.retired == snapshot.retired && again.configuration == good_config);
  }

  // Bytes from a link are either accepted or rejected, and never read past their end.
  void corruptMessagesAreReadSafely() {
    std::mt19937 random(7);
    protocol::Changes changes;
    changes.after = {2, 3};
    changes.changes.resize(3);
    const std::string packed = protocol::pack(changes);
    int accepted = 0;
    for (int i = 0; i < 20000; ++i) {
      std::string bytes = packed;
      if (i % 3 == 0) bytes.resize(random() % packed.size());
      for (unsigned flips = random() % 4; flips > 0 && !bytes.empty(); --flips)
        bytes[random() % bytes.size()] = static_cast<char>(random());
      if (protocol::unpack(bytes)) ++accepted;
    }
    CPPUNIT_ASSERT(accepted > 0);
    CPPUNIT_ASSERT(!protocol::unpack(packed.substr(0, packed.size() - 1)));
    CPPUNIT_ASSERT(!protocol::unpack(packed + "x"));
  }

  void updatesApplyInOrderAndNeverGoBack() {
    using ApplyResult = subscription::ClusterView::ApplyResult;
    subscription::ClusterView view;
    catalog::Time now{};
    protocol::StateSnapshot snapshot;
    snapshot.at = {2, 5};
    snapshot.revision = 7;
    snapshot.configuration = good_config;
    snapshot.nodes.push_back({{"a", "x", "1:1", "z", "v", 1, false, 1, {}}, 0});
    CPPUNIT_ASSERT(view.apply(now, snapshot) == ApplyResult::applied);
    protocol::Change gone;
    gone.kind = protocol::ChangeKind::node_retired;
    gone.text = "a";
    CPPUNIT_ASSERT(view.apply(now, protocol::Changes{{2, 7}, {gone}}) == ApplyResult::gap);
    CPPUNIT_ASSERT(view.apply(now, protocol::Changes{{3, 1}, {gone}}) == ApplyResult::gap);
    CPPUNIT_ASSERT(view.apply(now, protocol::Changes{{1, 9}, {gone}}) == ApplyResult::stale);
    CPPUNIT_ASSERT(view.nodes().find("a"));
    CPPUNIT_ASSERT(view.apply(now, protocol::Changes{{2, 5}, {gone}}) == ApplyResult::applied);
    CPPUNIT_ASSERT(!view.nodes().find("a"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, view.at().number);
    // Changes that are partly known are applied from the first unknown one on.
    protocol::Change lost;
    lost.kind = protocol::ChangeKind::node_removed;
    CPPUNIT_ASSERT(view.apply(now, protocol::Changes{{2, 5}, {gone, lost}}) == ApplyResult::applied);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, view.at().number);
    // A newer leader with an older configuration does not replace the newer one.
    snapshot.at = {3, 1};
    snapshot.revision = 3;
    snapshot.configuration = with(good_config, "\"edition\":7", "\"edition\":3");
    CPPUNIT_ASSERT(view.apply(now, snapshot) == ApplyResult::applied);
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{7}, view.revision());
    CPPUNIT_ASSERT(!view.nodes().find("a"));  // retired for good
    snapshot.at = {2, 99};
    CPPUNIT_ASSERT(view.apply(now, snapshot) == ApplyResult::stale);
  }

  void incompleteListRemovesNoNodes() {
    subscription::ClusterView view;
    protocol::StateSnapshot snapshot;
    snapshot.at = {2, 1};
    snapshot.nodes.push_back({{"a", "x", "1:1", "z", "v", 1, false, 1, {}}, 0});
    view.apply({}, snapshot);
    snapshot.at = {3, 1};
    snapshot.nodes.clear();
    snapshot.complete = false;
    view.apply({}, snapshot);
    CPPUNIT_ASSERT(view.nodes().find("a"));
    snapshot.at = {3, 2};
    snapshot.complete = true;
    view.apply({}, snapshot);
    CPPUNIT_ASSERT(!view.nodes().find("a"));
  }

  // A change that came late left no trace at the edge, or one with each update.
  void lateConfigurationIsReportedOnce() {
    using subscription::ConfigurationSource;
    const catalog::Time start{catalog::Duration(100)};
    const auto at = [&](double seconds) { return start + catalog::Duration(seconds); };
    subscription::ConfigurationArrival arrival;
    arrival.on_adopted(start, 3, ConfigurationSource::leader_state, catalog::Time::max());
    CPPUNIT_ASSERT(!arrival.take_late());
    arrival.on_adopted(at(1), 4, ConfigurationSource::leader_update, at(0));
    CPPUNIT_ASSERT(!arrival.take_late());  // not over a second
    arrival.on_announced(at(3), 5, 500);
    arrival.on_adopted(at(4.5), 5, ConfigurationSource::member_answer, at(3));
    arrival.on_adopted(at(5), 5, ConfigurationSource::leader_state, at(3));  // again, by another way
    const auto late = arrival.take_late();
    CPPUNIT_ASSERT(late && late->revision == 5 && late->source == ConfigurationSource::member_answer);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, late->behind_for.count(), 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, late->age.count(), 1e-6);
    CPPUNIT_ASSERT(!arrival.take_late());
  }

  // The age was counted from its arrival here, however old the configuration was by then.
  void configurationAgeCountsFromTheMember() {
    using subscription::ConfigurationSource;
    const catalog::Time start{catalog::Duration(100)};
    subscription::ConfigurationArrival arrival;
    CPPUNIT_ASSERT_EQUAL(0.0, arrival.age(start).count());
    arrival.on_announced(start, 5, 2000);
    arrival.on_adopted(start + catalog::Duration(1), 5, ConfigurationSource::leader_update, start);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(4.0, arrival.age(start + catalog::Duration(2)).count(), 1e-6);
    // A member that applied it earlier.
    arrival.on_announced(start + catalog::Duration(2), 5, 9000);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(9.0, arrival.age(start + catalog::Duration(2)).count(), 1e-6);
    // The age of a newer one is not that of the older one.
    arrival.on_adopted(start + catalog::Duration(3), 6, ConfigurationSource::leader_update,
                       catalog::Time::max());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, arrival.age(start + catalog::Duration(4)).count(), 1e-6);
  }

  struct SilentTransport : transport::Transport {
    void set_targets(const std::vector<std::string>&) override {}
    bool send_to(const std::string&, std::string_view) override { return true; }
    bool send(transport::LinkId, std::string_view) override { return true; }
  };

  // Each way looked the same in the log, so that nobody could say which one had failed.
  void followerTellsByWhichWayItsConfigurationCame() {
    using subscription::ConfigurationSource;
    constexpr transport::LinkId link = 7;
    const catalog::Time start{catalog::Duration(100)};
    SilentTransport wire;
    subscription::Follower follower(wire, {});
    follower.start(start);
    follower.link_up(link, "m:1");
    const auto receive = [&](double seconds, const auto& message) {
      follower.link_frame(start + catalog::Duration(seconds), link, protocol::pack(message));
    };
    CPPUNIT_ASSERT(follower.configuration_arrival().source() == ConfigurationSource::none);
    protocol::StateSnapshot state;
    state.at = {2, 5};
    state.revision = 7;
    state.configuration = good_config;
    receive(0, state);
    CPPUNIT_ASSERT(follower.configuration_arrival().source() == ConfigurationSource::leader_state);
    protocol::Change change;
    change.kind = protocol::ChangeKind::configuration;
    change.revision = 8;
    change.text = with(good_config, "\"edition\":7", "\"edition\":8");
    receive(0.5, protocol::Changes{{2, 5}, {change}});
    CPPUNIT_ASSERT(follower.configuration_arrival().source() == ConfigurationSource::leader_update);
    CPPUNIT_ASSERT(!follower.take_late_configuration());
    receive(1, protocol::ConfigurationNotice{9, 250, "z"});
    receive(2.5,
            protocol::ConfigurationUpdate{0, 9, 1750, with(good_config, "\"edition\":7", "\"edition\":9")});
    CPPUNIT_ASSERT(follower.configuration_arrival().source() == ConfigurationSource::member_answer);
    const auto late = follower.take_late_configuration();
    CPPUNIT_ASSERT(late && late->revision == 9);
    // From when the member applied it, a quarter of a second before its notice.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.75, late->behind_for.count(), 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.75, late->age.count(), 1e-6);
  }

  static raft::Entry entry(raft::Index index, const std::string& data) {
    return {index, 4, raft::EntryKind::change, data, {}};
  }

  void storeReturnsWhatWasSaved() {
    TempFolder folder;
    {
      storage::LmdbStore store(folder.path());
      raft::PersistentState empty;
      CPPUNIT_ASSERT(!store.load(empty));
      CPPUNIT_ASSERT_EQUAL(raft::MemberId{0}, empty.self);
      CPPUNIT_ASSERT(!store.save_self(42));
      CPPUNIT_ASSERT(!store.save_vote({9, 3}));
      CPPUNIT_ASSERT(!store.save_snapshot({2, 1, {{{7, "a:1"}}, 1}, "state"}, true));
      CPPUNIT_ASSERT(
          !store.replace_tail(3, {entry(3, "x"), entry(4, "y"), entry(5, std::string(100000, 'z'))}));
      CPPUNIT_ASSERT(!store.replace_tail(5, {entry(5, "w")}));
    }
    storage::LmdbStore store(folder.path());
    raft::PersistentState stored;
    CPPUNIT_ASSERT(!store.load(stored));
    CPPUNIT_ASSERT(stored.self == 42 && stored.vote == (raft::Vote{9, 3}));
    CPPUNIT_ASSERT(stored.snapshot.state == "state" && stored.entries.size() == 3);
    CPPUNIT_ASSERT(stored.entries[2] == entry(5, "w"));
    CPPUNIT_ASSERT(!store.save_snapshot({4, 4, {}, "later"}, false));
    CPPUNIT_ASSERT(!store.load(stored));
    CPPUNIT_ASSERT(stored.entries.size() == 1 && stored.entries[0].index == 5);
    CPPUNIT_ASSERT(!store.save_snapshot({9, 5, {}, "whole"}, true));
    CPPUNIT_ASSERT(!store.load(stored));
    CPPUNIT_ASSERT(stored.entries.empty() && stored.snapshot.index == 9);
  }

  void storeRejectsAnotherFormat() {
    TempFolder folder;
    {
      storage::LmdbStore store(folder.path());
      store.save_self(42);
    }
    MDB_env* env = nullptr;
    MDB_txn* txn = nullptr;
    MDB_dbi dbi = 0;
    mdb_env_create(&env);
    CPPUNIT_ASSERT_EQUAL(0, mdb_env_open(env, folder.path().c_str(), MDB_NOLOCK, 0644));
    mdb_txn_begin(env, nullptr, 0, &txn);
    mdb_dbi_open(txn, nullptr, 0, &dbi);
    char name[] = "format", newer[] = "\x91\x63";
    MDB_val key{6, name}, value{2, newer};
    CPPUNIT_ASSERT_EQUAL(0, mdb_put(txn, dbi, &key, &value, 0));
    mdb_txn_commit(txn);
    mdb_env_close(env);
    storage::LmdbStore store(folder.path());
    raft::PersistentState stored;
    CPPUNIT_ASSERT(store.load(stored) == storage::StoreError::unsupported_format);
  }

  // After a power loss during a commit any of its pages may be missing, but the meta page, which is written
  // after they are synced, is the old one.
  void tornWriteKeepsThePreviousCommit() {
    constexpr std::size_t page = 4096, metas = 2;
    TempFolder folder;
    const std::string file = folder.path() + "/data.mdb";
    std::mt19937 random(11);
    std::string old_bytes, new_bytes;
    {
      storage::LmdbStore store(folder.path());
      store.save_self(42);
      store.replace_tail(1, {entry(1, std::string(9000, 'a'))});
      store.save_vote({3, 1});
      old_bytes = read_file(file);
      store.replace_tail(2, {entry(2, std::string(20000, 'b'))});
      new_bytes = read_file(file);
    }
    CPPUNIT_ASSERT(old_bytes != new_bytes);
    for (int round = 0; round < 50; ++round) {
      std::string torn = new_bytes;
      for (std::size_t at = 0; at < torn.size(); at += page) {
        bool keep_old = at < metas * page || random() % 2 == 0;
        if (!keep_old) continue;
        for (std::size_t i = at; i < at + page && i < torn.size(); ++i)
          torn[i] = i < old_bytes.size() ? old_bytes[i] : '\0';
      }
      write_file(file, torn);
      storage::LmdbStore store(folder.path());
      raft::PersistentState stored;
      CPPUNIT_ASSERT(!store.load(stored));
      CPPUNIT_ASSERT(stored.self == 42 && stored.vote == (raft::Vote{3, 1}));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stored.entries.size());
      CPPUNIT_ASSERT(!store.replace_tail(2, {entry(2, "again")}));
    }
  }

  void settingsErrorsNameFileLineAndKey() {
    const std::string good =
        "nodeName = \"n\"\nipAddress = \"10.0.0.1\"\ninnerPortRange = [7120,7135]\n"
        "seedNodes = [\"10.0.0.1:8729\"]\nfirstStart = true\nbeatMs = 900\nsomethingNew = 3\n"
        "[listenAddrs]\nfrontDoor = \"10.0.0.1:8726\"\n[ruleBounds]\nretryRatio = 0.2\nretrySlack = 56\n";
    auto read = process_settings::read_settings_text(good, "local.toml");
    CPPUNIT_ASSERT_EQUAL(std::string(), read.fault);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:7120"), read.settings.inner_seeds()[0]);
    CPPUNIT_ASSERT_EQUAL(56.0, read.settings.retry_slack);
    CPPUNIT_ASSERT(read.settings.first_start);
    const std::tuple<std::string, std::string, std::string> cases[] = {
        {"beatMs = 900", "beatMs = \"x\"", "local.toml:6:"},
        {"firstStart = true", "firstStart = 1", "local.toml:5:"},
        {"[7120,7135]", "[7120]", "innerPortRange: is no pair of ports"},
        {"nodeName = \"n\"\n", "", "nodeName: is missing"},
        {"retryRatio = 0.2", "retryRatio = \"much\"", "ruleBounds.retryRatio: is no number"},
        {"[listenAddrs]", "[listenAddrs", "local.toml:8:"},
    };
    for (const auto& [from, to, what] : cases) {
      std::string fault = process_settings::read_settings_text(with(good, from, to), "local.toml").fault;
      CPPUNIT_ASSERT_MESSAGE(fault + " / " + what, fault.find(what) != std::string::npos);
    }
  }

  void changeOnAnotherBaseHasNoEffect() {
    control_plane::ReplicatedState state;
    auto apply = [&](catalog::Revision base, const std::string& text) {
      raft::Entry change;
      change.kind = raft::EntryKind::change;
      catalog::Fault fault;
      auto read = catalog::parse_configuration(text, fault);
      change.data = control_plane::ReplicatedState::encode_change(base, read->revision,
                                                                  control_plane::digest_of(text), text);
      state.apply(change);
    };
    apply(0, good_config);
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{7}, state.revision());
    apply(0, with(good_config, "\"edition\":7", "\"edition\":9"));
    apply(7, with(good_config, "\"edition\":7", "\"edition\":6"));
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{7}, state.revision());
    CPPUNIT_ASSERT_EQUAL(good_config, state.text());
    control_plane::ReplicatedState other;
    other.restore(state.take_snapshot());
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{7}, other.revision());
    CPPUNIT_ASSERT(other.has_applied(7, control_plane::digest_of(good_config)));
    CPPUNIT_ASSERT(!other.has_applied(7, control_plane::digest_of(good_config + " ")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PartsTest);

}  // namespace pearspar

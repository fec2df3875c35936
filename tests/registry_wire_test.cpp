// Framer, streamed replies and both codecs: what is read, cut anywhere, broken anywhere, or too large.
#include <gtest/gtest.h>

#include <random>

#include "registry/consul.h"
#include "registry/etcd.h"
#include "registry/framer.h"

namespace pearspar::registry {
namespace {

struct Framed {
  std::vector<std::string> objects;
  Framer::Result result = Framer::Result::fine;
};

Framed frame(const std::string& text, std::size_t step, const FramerLimits& limits = {}, bool list = false) {
  Framed framed;
  Framer framer(limits, list);
  for (std::size_t at = 0; at < text.size() && framed.result == Framer::Result::fine; at += step)
    framed.result = framer.feed(std::string_view(text).substr(at, step), [&](std::string_view object) {
      framed.objects.emplace_back(object);
      return true;
    });
  return framed;
}

TEST(Framer, ObjectsComeWholeHoweverTheyAreCut) {
  const std::string text = "{\"a\":\"}{\\\"\"}\n {\"b\":[{\"c\":1}]}{\"d\":\"\\\\\"}";
  for (std::size_t step = 1; step <= text.size(); ++step) {
    Framed framed = frame(text, step);
    ASSERT_EQ(framed.result, Framer::Result::fine);
    ASSERT_EQ(framed.objects,
              (std::vector<std::string>{"{\"a\":\"}{\\\"\"}", "{\"b\":[{\"c\":1}]}", "{\"d\":\"\\\\\"}"}));
  }
}

TEST(Framer, ALongTextIsLeftOutAndTheRestIsRead) {
  std::string text =
      "{\"k\":\"" + std::string(1000, 'x') + "\\\"" + std::string(1000, 'y') + "\",\"n\":\"short\"}{}";
  for (std::size_t step : {1ul, 7ul, 64ul, text.size()}) {
    Framed framed = frame(text, step, {100, 4096});
    ASSERT_EQ(framed.objects, (std::vector<std::string>{"{\"k\":\"!\",\"n\":\"short\"}", "{}"}));
  }
}

TEST(Framer, AMessageOverTheLimitAndWhatIsNoObjectEndIt) {
  EXPECT_EQ(frame("{\"a\":[" + std::string(5000, '1') + "]}", 100, {100, 1000}).result,
            Framer::Result::too_large);
  EXPECT_EQ(frame("[1]", 1).result, Framer::Result::malformed);
  EXPECT_EQ(frame("{} x", 1).result, Framer::Result::malformed);
}

// Small on the wire and large once it is read.
TEST(Framer, AnObjectOfVeryManyValuesIsTooLarge) {
  std::string text = "{\"kvs\":[1";
  for (int i = 0; i < 150'000; ++i) text += ",1";
  EXPECT_EQ(frame(text + "]}", 4096).result, Framer::Result::too_large);
}

TEST(Framer, TheItemsOfAList) {
  for (std::size_t step : {1ul, 3ul, 100ul})
    EXPECT_EQ(frame(" [{\"a\":1}, {\"b\":[2]}] ", step, {}, true).objects,
              (std::vector<std::string>{"{\"a\":1}", "{\"b\":[2]}"}));
  EXPECT_EQ(frame("{}", 1, {}, true).result, Framer::Result::malformed);
  EXPECT_EQ(frame("[{}][", 1, {}, true).result, Framer::Result::malformed);
  EXPECT_EQ(frame("[[", 1, {}, true).result, Framer::Result::malformed);
}

// ---- replies ----

struct Read {
  http::Progress progress = http::Progress::more;
  std::string body;
};

Read read_reply(const std::string& text, std::size_t step, http::ReplyStream& reply, bool ended = true) {
  Read read;
  net::Buffer buffer;
  for (std::size_t at = 0; at < text.size() && read.progress == http::Progress::more; at += step) {
    buffer.append(std::string_view(text).substr(at, step));
    read.progress = reply.advance(buffer, [&](std::string_view piece) {
      read.body += piece;
      return true;
    });
  }
  if (read.progress == http::Progress::more && ended) read.progress = reply.ended();
  return read;
}

TEST(ReplyStream, AllFramingsCutAnywhere) {
  const std::string head = "HTTP/1.1 200 OK\r\nX-A: b\r\n";
  const std::string bodies[] = {
      head + "Content-Length: 11\r\n\r\nhello world",
      head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nT: r\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\n" + head + "\r\nhello world"};
  for (const std::string& text : bodies) {
    for (std::size_t step = 1; step <= text.size(); ++step) {
      http::ReplyStream reply;
      Read read = read_reply(text, step, reply);
      ASSERT_EQ(read.progress, http::Progress::done) << text << step;
      ASSERT_EQ(read.body, "hello world");
      ASSERT_EQ(reply.header("x-a"), "b");
    }
  }
}

TEST(ReplyStream, AnEndWithinAReplyIsAFaultAtEveryByte) {
  const std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
  for (std::size_t cut = 0; cut < text.size(); ++cut) {
    http::ReplyStream reply;
    EXPECT_EQ(read_reply(text.substr(0, cut), 3, reply).progress, http::Progress::failed) << cut;
  }
}

TEST(ReplyStream, WhatIsNoReply) {
  for (const char* text :
       {"HTTP/2 200\r\n\r\n", "HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nnocolon\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n"}) {
    http::ReplyStream reply;
    EXPECT_EQ(read_reply(text, 1000, reply).progress, http::Progress::failed) << text;
  }
  http::ReplyStream endless;
  EXPECT_EQ(read_reply("HTTP/1.1 200 OK\r\nA: " + std::string(20000, 'a'), 1000, endless).progress,
            http::Progress::failed);
}

// ---- etcd ----

TEST(Etcd, RangeEnds) {
  EXPECT_EQ(etcd::range_end("/a/"), "/a0");
  EXPECT_EQ(etcd::range_end("a\xff"), "b");
  EXPECT_EQ(etcd::range_end("\xff\xff"), std::string(1, '\0'));
}

TEST(Etcd, APageWithWhatIsLeftOutWhereItIsZero) {
  Page page = etcd::read_page(json::parse(
      R"({"header":{"cluster_id":"14841639068965178418","member_id":"1","revision":"12","raft_term":"3"},)"
      R"("kvs":[{"key":"L2EvYg==","create_revision":"2","mod_revision":"9","version":"4","value":"aGk="},)"
      R"({"key":"L2EvYw==","create_revision":"3","mod_revision":"3","version":"1"}],"more":true,)"
      R"("count":"5"})"));
  EXPECT_EQ(page.header.cluster, 14841639068965178418u);
  EXPECT_EQ(page.header.revision, 12);
  ASSERT_EQ(page.items.size(), 2u);
  EXPECT_EQ(page.items[0].key, "/a/b");
  EXPECT_EQ(page.items[0].item, (Item{"hi", false, 2, 9, 4}));
  EXPECT_EQ(page.items[1].item.value, "");
  EXPECT_FALSE(page.items[1].item.oversized);
  EXPECT_TRUE(page.more);
  EXPECT_EQ(page.count, 5);
  EXPECT_TRUE(etcd::read_page(json::parse(R"({"header":{"revision":"1"}})")).items.empty());
}

TEST(Etcd, WatchMessages) {
  auto read = [](const char* text) { return etcd::read_watch(json::parse(text)); };
  EXPECT_EQ(read(R"({"result":{"header":{"revision":"5"},"created":true}})").kind,
            etcd::WatchMessage::Kind::made);
  auto events =
      read(R"({"result":{"header":{"revision":"7"},"fragment":true,"events":[{"kv":{"key":"YQ==",)"
           R"("create_revision":"6",)"
           R"("mod_revision":"6","version":"1","value":"MQ=="}},{"type":"DELETE","kv":{"key":"Yg==",)"
           R"("mod_revision":"7"}}]}})");
  ASSERT_EQ(events.events.changes.size(), 2u);
  EXPECT_TRUE(events.events.fragment);
  EXPECT_EQ(events.events.changes[0].item->value, "1");
  EXPECT_FALSE(events.events.changes[1].item);
  EXPECT_EQ(events.events.changes[1].revision, 7);
  auto over = read(R"({"result":{"header":{"revision":"7"},"canceled":true,"compact_revision":"6"}})");
  EXPECT_EQ(over.kind, etcd::WatchMessage::Kind::cancelled);
  EXPECT_EQ(over.compacted, 6);
  EXPECT_EQ(read(R"({"error":{"grpc_code":14,"message":"unavailable"}})").reason, "unavailable");
  for (const char* text :
       {R"({})", R"({"result":{}})", R"({"result":{"header":{"revision":"x"}}})",
        R"({"result":{"header":{},"events":[{}]}})", R"({"result":{"header":{},"events":7}})",
        R"({"result":{"header":{},"events":[{"type":"ODD","kv":{"key":"YQ=="}}]}})",
        R"({"result":{"header":{},"events":[{"kv":{"key":"*"}}]}})"})
    EXPECT_THROW(read(text), json::ParseError) << text;
}

TEST(Etcd, ErrorsTellCompactionFromTheRest) {
  auto compacted = etcd::read_error(
      json::parse(R"({"error":"etcdserver: mvcc: required revision has been compacted","code":11,)"
                  R"("message":"etcdserver: mvcc: required revision has been compacted"})"));
  EXPECT_TRUE(compacted.compacted());
  EXPECT_FALSE(
      etcd::read_error(json::parse(R"({"code":11,"message":"required revision is a future revision"})"))
          .compacted());
  EXPECT_FALSE(etcd::read_error(json::parse(R"({"code":14,"message":"compacted"})")).compacted());
}

struct Silent final : WireUser {
  void page_read(std::uint64_t, Page page) override { pages.push_back(std::move(page)); }
  void watch_stands(std::uint64_t, const Header&) override { ++watches; }
  void events_read(std::uint64_t, Events each) override { events.push_back(std::move(each)); }
  void look_read(std::uint64_t, const Standing&) override { ++looks; }
  std::vector<Page> pages;
  std::vector<Events> events;
  int watches = 0;
  int looks = 0;
};

TEST(Etcd, AValueOfTenMegabytesCostsItsOwnRecordOnly) {
  Silent user;
  etcd::EtcdDialect dialect("/n/", WireLimits{});
  Ask ask;
  ask.kind = Ask::Kind::watch;
  auto reader = dialect.reader(ask, user);
  http::ReplyStream reply;
  net::Buffer head;
  head.append("HTTP/1.1 200 OK\r\n\r\n");
  reply.advance(head, [](std::string_view) { return true; });
  ASSERT_TRUE(reader->head(reply));
  std::string big(10'000'000 / 3 * 4, 'A');
  ASSERT_TRUE(reader->piece(
      R"({"result":{"header":{"revision":"7"},"events":[{"kv":{"key":"YQ==","mod_revision":"7",)"
      R"("version":"1","value":")"));
  for (std::size_t at = 0; at < big.size(); at += 16384)
    ASSERT_TRUE(reader->piece(std::string_view(big).substr(at, 16384)));
  ASSERT_TRUE(
      reader->piece(R"("}},{"kv":{"key":"Yg==","mod_revision":"7","version":"1","value":"MQ=="}}]}})"));
  ASSERT_EQ(user.events.size(), 1u);
  ASSERT_EQ(user.events[0].changes.size(), 2u);
  EXPECT_TRUE(user.events[0].changes[0].item->oversized);
  EXPECT_TRUE(user.events[0].changes[0].item->value.empty());
  EXPECT_EQ(user.events[0].changes[1].item->value, "1");
}

// Whatever comes, it is read or refused with a reason; nothing else happens.
TEST(Wire, MutatedRepliesAreReadOrRefused) {
  const std::string etcd_page =
      R"({"header":{"cluster_id":"7","revision":"12","raft_term":"3"},"kvs":[{"key":"L2EvYg==",)"
      R"("create_revision":"2",)"
      R"("mod_revision":"9","version":"4","value":"aGk="}],"more":false,"count":"1"})";
  const std::string etcd_watch =
      R"({"result":{"header":{"revision":"7"},"events":[{"type":"DELETE","kv":{"key":"Yg==",)"
      R"("mod_revision":"7"}}]}})";
  const std::string consul_list =
      R"([{"LockIndex":0,"Key":"n/a","Flags":0,"Value":"aGk=","CreateIndex":5,"ModifyIndex":6}])";
  std::mt19937_64 random(42);
  int refused = 0;
  for (int i = 0; i < 6000; ++i) {
    Silent user;
    Ask ask;
    std::unique_ptr<ReplyReader> reader;
    std::string text;
    if (i % 3 == 2) {
      ask.kind = Ask::Kind::poll;
      reader = consul::ConsulDialect("n/", WireLimits{}, {}).reader(ask, user);
      text = consul_list;
    } else {
      ask.kind = i % 3 == 0 ? Ask::Kind::page : Ask::Kind::watch;
      reader = etcd::EtcdDialect("/a/", WireLimits{}).reader(ask, user);
      text = i % 3 == 0 ? etcd_page : etcd_watch;
    }
    for (std::uint64_t changes = 1 + random() % 3; changes > 0; --changes) {
      std::size_t at = random() % text.size();
      switch (random() % 3) {
        case 0:
          text[at] = static_cast<char>(random() % 256);
          break;
        case 1:
          text.erase(at, 1 + random() % 5);
          break;
        default:
          text.insert(at, 1, "{}[]\",:0-9"[random() % 10]);
      }
      if (text.empty()) text = " ";
    }
    net::Buffer head;
    head.append("HTTP/1.1 200 OK\r\nX-Consul-Index: 9\r\n\r\n");
    http::ReplyStream reply;
    reply.advance(head, [](std::string_view) { return true; });
    bool fine = reader->head(reply) && reader->piece(text) && reader->end();
    if (fine) continue;
    ++refused;
    ASSERT_FALSE(reader->why().empty());
  }
  EXPECT_GT(refused, 1000);
}

TEST(Consul, AListWithItsIndexInKeyOrder) {
  Silent user;
  consul::ConsulDialect dialect("n/", WireLimits{}, {});
  Ask ask;
  ask.kind = Ask::Kind::poll;
  ask.revision = 8;
  ask.wait = std::chrono::milliseconds(1500);
  EXPECT_EQ(dialect.request(ask).target, "/v1/kv/n/?recurse=true&index=8&wait=1500ms");
  auto reader = dialect.reader(ask, user);
  net::Buffer head;
  head.append("HTTP/1.1 200 OK\r\nX-Consul-Index: 9\r\n\r\n");
  http::ReplyStream reply;
  reply.advance(head, [](std::string_view) { return true; });
  ASSERT_TRUE(reader->head(reply));
  ASSERT_TRUE(reader->piece(R"([{"Key":"n/b","Value":null,"CreateIndex":3,"ModifyIndex":3},{"Key":"n/a",)"
                            R"("Value":"aGk=","CreateIndex":5,"ModifyIndex":6}])"));
  ASSERT_TRUE(reader->end());
  ASSERT_EQ(user.pages.size(), 1u);
  EXPECT_EQ(user.pages[0].header.revision, 9);
  EXPECT_EQ(user.pages[0].items[0].key, "n/a");
  EXPECT_EQ(user.pages[0].items[0].item.value, "hi");
}

TEST(Consul, StaleReadsAreTakenWithinTheirBoundOnly) {
  Silent user;
  consul::Options options;
  options.consistency = consul::Consistency::stale;
  consul::ConsulDialect dialect("n/", WireLimits{}, options);
  auto head = [&](const std::string& lines) {
    net::Buffer text;
    text.append("HTTP/1.1 200 OK\r\nX-Consul-Index: 9\r\n" + lines + "\r\n");
    http::ReplyStream reply;
    reply.advance(text, [](std::string_view) { return true; });
    return dialect.reader(Ask{}, user)->head(reply);
  };
  EXPECT_TRUE(head("X-Consul-LastContact: 900\r\nX-Consul-KnownLeader: true\r\n"));
  EXPECT_FALSE(head("X-Consul-LastContact: 1100\r\nX-Consul-KnownLeader: true\r\n"));
  EXPECT_FALSE(head("X-Consul-LastContact: 0\r\nX-Consul-KnownLeader: false\r\n"));
}

}  // namespace
}  // namespace pearspar::registry

#include "clients/query.h"

#include <gtest/gtest.h>

namespace pearspar::clients {
namespace {

const std::string good_body = R"({"ranges":[{"range":3,"portion":0.5,"price":9000},)"
                              R"({"range":9,"portion":0.5,"hash":"00ff"}],"predicate":"c41e\u0037"})";

struct Asked {
  std::string head = "X-Correlation-Id: 9b1f\r\nX-Account: acme\r\nX-Time-Left-Ms: 480\r\n";
  std::string target = "/checkout/more?x=y";
  std::string body = good_body;
  Query query;
  std::string why;

  int read() {
    http::MessageReader reader(http::MessageKind::request);
    net::Buffer buffer;
    buffer.append("POST " + target + " HTTP/1.1\r\n" + head +
                  "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    if (reader.advance(buffer) != http::Progress::done) return reader.failure_status();
    query = Query{};
    auto fault = read_query(reader.message(), {16, 20, true}, query);
    why = fault ? fault->why : "";
    cls = query.cls, id = query.id, tenant = query.tenant;
    return fault ? fault->status : 200;
  }
  std::string cls, id, tenant;  // kept beyond the message
};

TEST(Query, AGoodOneIsRead) {
  Asked asked;
  asked.head += "X-Repeat: 1\r\n";
  ASSERT_EQ(asked.read(), 200) << asked.why;
  EXPECT_EQ(asked.cls, "checkout");
  EXPECT_EQ(asked.id, "9b1f");
  EXPECT_EQ(asked.tenant, "acme");
  EXPECT_EQ(asked.query.time_left_ms, 480);
  EXPECT_TRUE(asked.query.repeat);
  EXPECT_EQ(asked.query.text, "c41e7");
  ASSERT_EQ(asked.query.parts.size(), 2u);
  EXPECT_EQ(asked.query.parts[0].shard, 3);
  EXPECT_EQ(asked.query.parts[0].weight, 0.5);
  EXPECT_EQ(asked.query.parts[0].cost_us, 9000);
  EXPECT_FALSE(asked.query.parts[1].cost_us);
  EXPECT_EQ(asked.query.parts[1].key, 255u);
}

TEST(Query, OnePartAndAnEmptyTextAreAQuery) {
  Asked asked;
  asked.body = R"({"ranges":[{"range":0,"portion":1}],"predicate":""})";
  EXPECT_EQ(asked.read(), 200) << asked.why;
}

// Each weight is rounded for itself.
TEST(Query, WeightsMayMissOneByTheirRounding) {
  Asked asked;
  asked.body =
      R"({"ranges":[{"range":1,"portion":0.333},{"range":2,"portion":0.333},{"range":3,"portion":0.333}],)"
      R"("predicate":"x"})";
  EXPECT_EQ(asked.read(), 200) << asked.why;
}

TEST(Query, TheFaultyHeaderIsNamed) {
  auto fault = [](const std::string& head) {
    Asked asked;
    asked.head = head;
    EXPECT_EQ(asked.read(), 400);
    return asked.why.substr(0, asked.why.find(':'));
  };
  const std::string id = "X-Correlation-Id: 9b1f\r\n", account = "X-Account: acme\r\n";
  EXPECT_EQ(fault(account + "X-Time-Left-Ms: 480\r\n"), "X-Correlation-Id");
  EXPECT_EQ(fault("X-Correlation-Id: two words\r\n" + account + "X-Time-Left-Ms: 480\r\n"),
            "X-Correlation-Id");
  EXPECT_EQ(fault("X-Correlation-Id: " + std::string(300, 'x') + "\r\n" + account + "X-Time-Left-Ms: 4\r\n"),
            "X-Correlation-Id");
  EXPECT_EQ(fault(id + "X-Time-Left-Ms: 480\r\n"), "X-Account");
  EXPECT_EQ(fault(id + account), "X-Time-Left-Ms");
  for (const char* bad : {"", "soon", "1e999", "nan", "inf", "480ms", "99999999999"})
    EXPECT_EQ(fault(id + account + "X-Time-Left-Ms: " + bad + "\r\n"), "X-Time-Left-Ms") << bad;
}

TEST(Query, TheFaultyFieldIsNamed) {
  auto fault = [](const std::string& body) {
    Asked asked;
    asked.body = body;
    EXPECT_EQ(asked.read(), 400) << body;
    return asked.why.substr(0, asked.why.find(':'));
  };
  auto part = [](const std::string& text) { return R"({"ranges":[)" + text + R"(],"predicate":"x"})"; };
  EXPECT_EQ(fault(""), "body");
  EXPECT_EQ(fault("[]"), "body");
  EXPECT_EQ(fault(std::string(5000, '[')), "body");
  EXPECT_EQ(fault(R"({"predicate":"x"})"), "ranges");
  EXPECT_EQ(fault(R"({"ranges":{},"predicate":"x"})"), "ranges");
  EXPECT_EQ(fault(part("3")), "ranges");
  const std::string whole = R"({"ranges":[{"range":1,"portion":1}])";
  EXPECT_EQ(fault(whole + "}"), "predicate");
  EXPECT_EQ(fault(whole + R"(,"predicate":3})"), "predicate");
  EXPECT_EQ(fault(whole + R"(,"predicate":")" + std::string(20000, 'x') + "\"}"), "predicate");
  for (const char* shard : {"-1", "16", "1.5", "\"3\"", "1e99", "null"})
    EXPECT_EQ(fault(part(R"({"range":)" + std::string(shard) + R"(,"portion":0.5})")), "range") << shard;
  EXPECT_EQ(fault(part(R"({"portion":0.5})")), "range");
  for (const char* share : {"-0.1", "1.5", "\"1\"", "1e999"})
    EXPECT_EQ(fault(part(R"({"range":1,"portion":)" + std::string(share) + "}")), "portion") << share;
  EXPECT_EQ(fault(part(R"({"range":1})")), "portion");
  EXPECT_EQ(fault(part(R"({"range":1,"portion":0.5},{"range":1,"portion":0.5})")), "range");
  EXPECT_EQ(fault(part(R"({"range":1,"portion":0.9},{"range":2,"portion":0.5})")), "portion");
  EXPECT_EQ(fault(part(R"({"range":1,"portion":0.4},{"range":2,"portion":0.5})")), "portion");
  EXPECT_EQ(fault(part("")), "portion");  // no parts are no query
  EXPECT_EQ(fault(part(R"({"range":1,"portion":1,"price":-1})")), "price");
  EXPECT_EQ(fault(part(R"({"range":1,"portion":1,"price":"x"})")), "price");
  EXPECT_EQ(fault(part(R"({"range":1,"portion":1,"hash":"xyz"})")), "hash");
  EXPECT_EQ(fault(part(R"({"range":1,"portion":1,"hash":"00112233445566778"})")), "hash");
  std::string many;
  for (int i = 0; i < 21; ++i) many += std::string(i ? "," : "") + R"({"range":1,"portion":0})";
  EXPECT_EQ(fault(part(many)), "ranges");
}

TEST(Query, AnAnswerHoldsTheValuesAsTheyCame) {
  std::vector<PartValue> values = {{3, "5be2"}, {9, "a\"\n\x01"}};
  EXPECT_EQ(answer_body(false, values),
            "{\"total\":false,\"answers\":[{\"range\":3,\"blob\":\"5be2\"},"
            "{\"range\":9,\"blob\":\"a\\\"\\u000a\\u0001\"}]}");
  EXPECT_EQ(answer_body(true, {}), "{\"total\":true,\"answers\":[]}");
}

}  // namespace
}  // namespace pearspar::clients

#include "clients/query.h"

#include <gtest/gtest.h>

namespace pearspar::clients {
namespace {

const std::string good_body = R"({"ranges":[{"range":3,"portion":0.5,"price":9000},)"
                              R"({"range":9,"portion":0.5,"hash":"00ff"}],"predicate":"c41e\u0037"})";

struct QueryRequest {
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
    auto error = read_query(reader.message(), {16, 20, true}, query);
    why = error ? error->why : "";
    cls = query.cls, id = query.id, tenant = query.tenant;
    return error ? error->status : 200;
  }
  std::string cls, id, tenant;  // copies that outlive the message
};

TEST(Query, ValidQueryIsRead) {
  QueryRequest request;
  request.head += "X-Repeat: 1\r\n";
  ASSERT_EQ(request.read(), 200) << request.why;
  EXPECT_EQ(request.cls, "checkout");
  EXPECT_EQ(request.id, "9b1f");
  EXPECT_EQ(request.tenant, "acme");
  EXPECT_EQ(request.query.time_left_ms, 480);
  EXPECT_TRUE(request.query.repeat);
  EXPECT_EQ(request.query.text, "c41e7");
  ASSERT_EQ(request.query.parts.size(), 2u);
  EXPECT_EQ(request.query.parts[0].shard, 3);
  EXPECT_EQ(request.query.parts[0].weight, 0.5);
  EXPECT_EQ(request.query.parts[0].cost_us, 9000);
  EXPECT_FALSE(request.query.parts[1].cost_us);
  EXPECT_EQ(request.query.parts[1].key, 255u);
}

TEST(Query, OnePartAndEmptyTextAreValid) {
  QueryRequest request;
  request.body = R"({"ranges":[{"range":0,"portion":1}],"predicate":""})";
  EXPECT_EQ(request.read(), 200) << request.why;
}

// Rounded weights need not sum up to exactly 1.
TEST(Query, RoundedWeightsAreAccepted) {
  QueryRequest request;
  request.body =
      R"({"ranges":[{"range":1,"portion":0.333},{"range":2,"portion":0.333},{"range":3,"portion":0.333}],)"
      R"("predicate":"x"})";
  EXPECT_EQ(request.read(), 200) << request.why;
}

TEST(Query, InvalidHeaderIsNamed) {
  auto invalid_name = [](const std::string& head) {
    QueryRequest request;
    request.head = head;
    EXPECT_EQ(request.read(), 400);
    return request.why.substr(0, request.why.find(':'));
  };
  const std::string id = "X-Correlation-Id: 9b1f\r\n", account = "X-Account: acme\r\n";
  EXPECT_EQ(invalid_name(account + "X-Time-Left-Ms: 480\r\n"), "X-Correlation-Id");
  EXPECT_EQ(invalid_name("X-Correlation-Id: two words\r\n" + account + "X-Time-Left-Ms: 480\r\n"),
            "X-Correlation-Id");
  EXPECT_EQ(
      invalid_name("X-Correlation-Id: " + std::string(300, 'x') + "\r\n" + account + "X-Time-Left-Ms: 4\r\n"),
      "X-Correlation-Id");
  EXPECT_EQ(invalid_name(id + "X-Time-Left-Ms: 480\r\n"), "X-Account");
  EXPECT_EQ(invalid_name(id + account), "X-Time-Left-Ms");
  for (const char* bad : {"", "soon", "1e999", "nan", "inf", "480ms", "99999999999"})
    EXPECT_EQ(invalid_name(id + account + "X-Time-Left-Ms: " + bad + "\r\n"), "X-Time-Left-Ms") << bad;
}

TEST(Query, InvalidFieldIsNamed) {
  auto invalid_name = [](const std::string& body) {
    QueryRequest request;
    request.body = body;
    EXPECT_EQ(request.read(), 400) << body;
    return request.why.substr(0, request.why.find(':'));
  };
  auto part = [](const std::string& text) { return R"({"ranges":[)" + text + R"(],"predicate":"x"})"; };
  EXPECT_EQ(invalid_name(""), "body");
  EXPECT_EQ(invalid_name("[]"), "body");
  EXPECT_EQ(invalid_name(std::string(5000, '[')), "body");
  EXPECT_EQ(invalid_name(R"({"predicate":"x"})"), "ranges");
  EXPECT_EQ(invalid_name(R"({"ranges":{},"predicate":"x"})"), "ranges");
  EXPECT_EQ(invalid_name(part("3")), "ranges");
  const std::string whole = R"({"ranges":[{"range":1,"portion":1}])";
  EXPECT_EQ(invalid_name(whole + "}"), "predicate");
  EXPECT_EQ(invalid_name(whole + R"(,"predicate":3})"), "predicate");
  EXPECT_EQ(invalid_name(whole + R"(,"predicate":")" + std::string(20000, 'x') + "\"}"), "predicate");
  for (const char* shard : {"-1", "16", "1.5", "\"3\"", "1e99", "null"})
    EXPECT_EQ(invalid_name(part(R"({"range":)" + std::string(shard) + R"(,"portion":0.5})")), "range")
        << shard;
  EXPECT_EQ(invalid_name(part(R"({"portion":0.5})")), "range");
  for (const char* share : {"-0.1", "1.5", "\"1\"", "1e999"})
    EXPECT_EQ(invalid_name(part(R"({"range":1,"portion":)" + std::string(share) + "}")), "portion") << share;
  EXPECT_EQ(invalid_name(part(R"({"range":1})")), "portion");
  EXPECT_EQ(invalid_name(part(R"({"range":1,"portion":0.5},{"range":1,"portion":0.5})")), "range");
  EXPECT_EQ(invalid_name(part(R"({"range":1,"portion":0.9},{"range":2,"portion":0.5})")), "portion");
  EXPECT_EQ(invalid_name(part(R"({"range":1,"portion":0.4},{"range":2,"portion":0.5})")), "portion");
  EXPECT_EQ(invalid_name(part("")), "portion");  // a query needs parts
  EXPECT_EQ(invalid_name(part(R"({"range":1,"portion":1,"price":-1})")), "price");
  EXPECT_EQ(invalid_name(part(R"({"range":1,"portion":1,"price":"x"})")), "price");
  EXPECT_EQ(invalid_name(part(R"({"range":1,"portion":1,"hash":"xyz"})")), "hash");
  EXPECT_EQ(invalid_name(part(R"({"range":1,"portion":1,"hash":"00112233445566778"})")), "hash");
  std::string many;
  for (int i = 0; i < 21; ++i) many += std::string(i ? "," : "") + R"({"range":1,"portion":0})";
  EXPECT_EQ(invalid_name(part(many)), "ranges");
}

TEST(Query, AnswerBodyHoldsTheValuesVerbatim) {
  std::vector<PartValue> values = {{3, "5be2"}, {9, "a\"\n\x01"}};
  EXPECT_EQ(answer_body(false, values),
            "{\"total\":false,\"answers\":[{\"range\":3,\"blob\":\"5be2\"},"
            "{\"range\":9,\"blob\":\"a\\\"\\u000a\\u0001\"}]}");
  EXPECT_EQ(answer_body(true, {}), "{\"total\":true,\"answers\":[]}");
}

}  // namespace
}  // namespace pearspar::clients

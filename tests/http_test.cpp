#include <gtest/gtest.h>

#include "http/message.h"

namespace pearspar::http {
namespace {

struct Result {
  Progress progress = Progress::more;
  int status = 0;
  std::string body, target;
  bool keep_alive = false;
};

Result parse_in_steps(const std::string& bytes, std::size_t step, MessageKind kind = MessageKind::request) {
  MessageReader reader(kind);
  net::Buffer buffer;
  Result result;
  for (std::size_t at = 0; at < bytes.size() && result.progress == Progress::more; at += step) {
    buffer.append(std::string_view(bytes).substr(at, step));
    result.progress = reader.advance(buffer);
  }
  if (result.progress == Progress::failed) result.status = reader.failure_status();
  if (result.progress == Progress::done) {
    result.body = reader.message().body;
    result.target = reader.message().target;
    result.keep_alive = reader.message().keep_alive;
  }
  return result;
}

const std::string length_request =
    "POST /a/b?c HTTP/1.1\r\nHost: x\r\nX-Account:  acme \r\nContent-Length: 11\r\n\r\nhello world";
const std::string chunked_request =
    "POST /a HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n5;note=x\r\nhello\r\n1\r\n "
    "\r\n005\r\nworld\r\n0\r\n"
    "Trailer: t\r\n\r\n";

TEST(Http, BodyIsReadByLengthAndInChunksAtAnySplit) {
  for (std::size_t step = 1; step <= 120; ++step) {
    Result one = parse_in_steps(length_request, step), other = parse_in_steps(chunked_request, step);
    ASSERT_EQ(one.progress, Progress::done) << step;
    EXPECT_EQ(one.body, "hello world");
    EXPECT_EQ(one.target, "/a/b?c");
    EXPECT_TRUE(one.keep_alive);
    ASSERT_EQ(other.progress, Progress::done) << step;
    EXPECT_EQ(other.body, "hello world");
  }
}

TEST(Http, HeaderNamesAreCaseInsensitive) {
  MessageReader reader(MessageKind::request);
  net::Buffer buffer;
  buffer.append(length_request);
  ASSERT_EQ(reader.advance(buffer), Progress::done);
  EXPECT_EQ(reader.message().header("x-account"), "acme");
  EXPECT_FALSE(reader.message().header("X-Acc"));
}

// Bytes after a message belong to the next one, complete or not.
TEST(Http, PipelinedMessagesAreReadInOrder) {
  for (const std::string& first : {length_request, chunked_request}) {
    MessageReader reader(MessageKind::request);
    net::Buffer buffer;
    buffer.append(first + chunked_request + "GET /last HT");
    ASSERT_EQ(reader.advance(buffer), Progress::done);
    reader.next(buffer);
    ASSERT_EQ(reader.advance(buffer), Progress::done);
    EXPECT_EQ(reader.message().body, "hello world");
    reader.next(buffer);
    EXPECT_EQ(reader.advance(buffer), Progress::more);
    EXPECT_TRUE(reader.begun(buffer));
    buffer.append("TP/1.1\r\n\r\n");
    ASSERT_EQ(reader.advance(buffer), Progress::done);
    EXPECT_EQ(reader.message().target, "/last");
    reader.next(buffer);
    EXPECT_FALSE(reader.begun(buffer));
  }
}

TEST(Http, KeepAliveFollowsVersionAndConnectionHeader) {
  EXPECT_FALSE(parse_in_steps("GET / HTTP/1.1\r\nConnection: foo, Close\r\n\r\n", 7).keep_alive);
  EXPECT_FALSE(parse_in_steps("GET / HTTP/1.0\r\n\r\n", 7).keep_alive);
  EXPECT_TRUE(parse_in_steps("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", 7).keep_alive);
}

TEST(Http, InvalidRequestsAreRefusedWithAStatus) {
  auto status = [](const std::string& head) { return parse_in_steps(head + "\r\n\r\n", 1000).status; };
  EXPECT_EQ(status("GET"), 400);
  EXPECT_EQ(status("G T / HTTP/1.1"), 400);
  EXPECT_EQ(status("GET / HTTP/2.0"), 505);
  EXPECT_EQ(status("GET / FTP/1.1"), 400);
  EXPECT_EQ(status("GET / HTTP/1.1\r\nno colon"), 400);
  EXPECT_EQ(status("GET / HTTP/1.1\r\nbad name : x"), 400);
  EXPECT_EQ(status("GET / HTTP/1.1\r\n folded: x"), 400);
  EXPECT_EQ(status("POST / HTTP/1.1"), 411);
  EXPECT_EQ(status("POST / HTTP/1.1\r\nContent-Length: -1"), 400);
  EXPECT_EQ(status("POST / HTTP/1.1\r\nContent-Length: 1x"), 400);
  EXPECT_EQ(status("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999"), 400);
  EXPECT_EQ(status("POST / HTTP/1.1\r\nContent-Length: 65537"), 413);
  // Ambiguous framing, which allows request smuggling.
  EXPECT_EQ(status("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2"), 400);
  EXPECT_EQ(status("POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked"), 400);
  EXPECT_EQ(status("POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked"), 501);
  EXPECT_EQ(status("POST / HTTP/1.1\r\nContent-Length: 1\r\nExpect: magic"), 417);
  EXPECT_EQ(status("GET / HTTP/1.1\r\nX: " + std::string(20000, 'x')), 431);
  std::string many = "GET / HTTP/1.1";
  for (int i = 0; i < 200; ++i) many += "\r\nX: y";
  EXPECT_EQ(status(many), 431);
}

TEST(Http, InvalidChunksAreRefused) {
  const std::string head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t step : {1, 3, 100000}) {
    EXPECT_EQ(parse_in_steps(head + "x\r\n", step).status, 400);
    EXPECT_EQ(parse_in_steps(head + "\r\n", step).status, 400);
    EXPECT_EQ(parse_in_steps(head + "-1\r\n", step).status, 400);
    EXPECT_EQ(parse_in_steps(head + "3\r\nabcd\r\n", step).status, 400);
    EXPECT_EQ(parse_in_steps(head + "10001\r\n", step).status, 413);
    EXPECT_EQ(parse_in_steps(head + "ffffffffffffffffff\r\n", step).status, 400);
    EXPECT_EQ(parse_in_steps(head + std::string(2000, '1'), step).status, 400);
  }
  // Much framing around a small body.
  std::string drip = head;
  for (int i = 0; i < 3000; ++i) drip += "1;" + std::string(200, 'x') + "\r\na\r\n";
  EXPECT_EQ(parse_in_steps(drip, 4096).status, 413);
}

TEST(Http, LargestBodyIsReadByLengthAndInChunks) {
  std::string body(max_body, 'b');
  Result plain = parse_in_steps("POST / HTTP/1.1\r\nContent-Length: 65536\r\n\r\n" + body, 5000);
  EXPECT_EQ(plain.body, body);
  std::string chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 64; ++i) chunked += "400\r\n" + std::string(1024, 'b') + "\r\n";
  EXPECT_EQ(parse_in_steps(chunked + "0\r\n\r\n", 5000).body, body);
}

TEST(Http, ReplyWithoutLengthIsRefused) {
  Result good = parse_in_steps("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", 3, MessageKind::reply);
  EXPECT_EQ(good.body, "hi");
  EXPECT_EQ(parse_in_steps("HTTP/1.1 200 OK\r\n\r\n", 3, MessageKind::reply).progress, Progress::failed);
  EXPECT_EQ(parse_in_steps("HTTP/1.1 20 OK\r\n\r\n", 3, MessageKind::reply).progress, Progress::failed);
  EXPECT_EQ(parse_in_steps("nonsense\r\n\r\n", 3, MessageKind::reply).progress, Progress::failed);
}

TEST(Http, ContinueIsRequestedOnce) {
  MessageReader reader(MessageKind::request);
  net::Buffer buffer;
  buffer.append("POST / HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
  EXPECT_EQ(reader.advance(buffer), Progress::more);
  EXPECT_TRUE(reader.take_continue_request());
  EXPECT_FALSE(reader.take_continue_request());
  buffer.append("hi");
  EXPECT_EQ(reader.advance(buffer), Progress::done);
}

}  // namespace
}  // namespace pearspar::http

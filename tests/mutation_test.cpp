// Seeded mutations of valid input: parsers must return a value or an error on any input, without memory
// errors under the sanitizers.
#include <gtest/gtest.h>

#include <random>

#include "benchlink/host.h"
#include "clients/query.h"
#include "config/config.h"
#include "config_text.h"
#include "discovery/members.h"
#include "http/message.h"
#include "json/json.h"
#include "nodelink/frames.h"

namespace pearspar {
namespace {

class Mutator {
 public:
  explicit Mutator(std::uint64_t seed) : random_(seed) {}

  std::string operator()(std::string text) {
    for (std::size_t edits = 1 + below(4); edits > 0; --edits) {
      std::size_t at = below(text.size() + 1);
      switch (below(7)) {
        case 0:
          if (at < text.size()) text[at] = static_cast<char>(text[at] ^ (1 << below(8)));
          break;
        case 1:
          text.resize(at);
          break;
        case 2:
          text.insert(at, 1, static_cast<char>(below(256)));
          break;
        case 3:
          text.erase(at, below(8));
          break;
        case 4:
          text.insert(at, text.substr(below(text.size() + 1), below(40)));
          break;
        case 5: {
          static const char* odd[] = {"\"",   "\\u12", "{", "]", "-", "1e999", "99999999999999999999",
                                      "\r\n", ":",     "\0"};
          text.insert(at, odd[below(std::size(odd))]);
          break;
        }
        default:
          if (at < text.size()) text[at] = static_cast<char>(below(256));
      }
    }
    return text;
  }
  std::size_t below(std::size_t bound) { return bound == 0 ? 0 : random_() % bound; }

 private:
  std::mt19937_64 random_;
};

constexpr int rounds = 4000;

std::string chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

const std::string request =
    "POST /search HTTP/1.1\r\nX-Correlation-Id: 9b1f\r\nX-Account: acme\r\nX-Time-Left-Ms: 480\r\n"
    "Transfer-Encoding: chunked\r\n\r\n" +
    chunk(R"({"ranges":[{"range":3,"portion":0.5,"price":9000},)") +
    chunk(R"({"range":9,"portion":0.5}],"predicate":"c4\u0031"})") + "0\r\nT: x\r\n\r\n";

TEST(Mutation, HttpAndQueries) {
  Mutator mutate(1);
  int parsed = 0, refused = 0;
  for (int i = 0; i < rounds; ++i) {
    std::string text = i % 10 == 0 ? request : mutate(request);
    http::MessageReader reader(http::MessageKind::request);
    net::Buffer buffer;
    http::Progress progress = http::Progress::more;
    for (std::size_t at = 0; at < text.size() && progress == http::Progress::more;) {
      std::size_t step = 1 + mutate.below(60);
      buffer.append(std::string_view(text).substr(at, step));
      at += step;
      progress = reader.advance(buffer);
    }
    if (progress == http::Progress::failed) {
      ++refused;
      EXPECT_GE(reader.failure_status(), 400);
      EXPECT_FALSE(reader.failure_reason().empty());
    }
    if (progress != http::Progress::done) continue;
    ++parsed;
    clients::Query query;
    if (auto fault = clients::read_query(reader.message(), {16, 20, true}, query)) {
      EXPECT_FALSE(fault->why.empty());
    } else {
      for (const auto& part : query.parts) EXPECT_TRUE(part.shard >= 0 && part.shard < 16);
    }
    reader.next(buffer);
  }
  EXPECT_GT(parsed, rounds / 10);
  EXPECT_GT(refused, rounds / 20);
}

TEST(Mutation, JsonMembersAndConfiguration) {
  Mutator mutate(2);
  peers::ConfigText text;
  text.known =
      peers::list_text(41, true, peers::member_text("s-1", "10.1.0.18:3000", 3, "draining", "17000"));
  const std::string config = text.text();
  int valid = 0, invalid = 0;
  for (int i = 0; i < rounds; ++i) {
    try {
      config::read_config(mutate(config));
      ++valid;
    } catch (const config::ConfigError& error) {
      EXPECT_EQ(std::string(error.what()).substr(0, 14), "configuration:");
      ++invalid;
    }
    try {
      discovery::read_members(json::parse(mutate(text.known)));
    } catch (const json::ParseError&) {
    }
  }
  EXPECT_GT(invalid, rounds / 4);
  EXPECT_GT(valid, 0);
}

TEST(Mutation, Frames) {
  Mutator mutate(3);
  const std::string valid = std::string("\0\0\0\x1d", 4) + "q9b1f.3 good 18 qps=7,x=1\nval" +
                            std::string("\0\0\0\x05", 4) + "pqps=";
  const std::vector<std::string> fields = {"throughput"};
  int frames = 0;
  for (int i = 0; i < rounds; ++i) {
    std::string text = mutate(valid);
    std::string_view left = text;
    nodelink::FrameView frame;
    while (nodelink::next_frame(left, frame) == nodelink::FrameResult::whole) {
      ++frames;
      ASSERT_LE(frame.size, left.size());
      if (auto answer = nodelink::parse_answer(frame.rest)) nodelink::parse_report(answer->report, fields);
      left.remove_prefix(frame.size);
    }
  }
  EXPECT_GT(frames, rounds / 4);
}

// A damaged batch from the simulator must give an error or a reply.
TEST(Mutation, SimulatorBatches) {
  Mutator mutate(4);
  auto word = [](std::uint32_t value) { return std::string(reinterpret_cast<const char*>(&value), 4); };
  std::string settings =
      "balancers=1\nclasses.count=1\nclasses.0.aim_s=2.0\nclasses.0.effect=retryable\nclasses.0.give_up_s=4."
      "0\n"
      "classes.0.late_worth=0.3\nclasses.0.name=x\nclasses.0.worth=5.0\ncounted_by=request\nlimits.cancel="
      "true\n"
      "limits.max_open=200\nlimits.peers=false\nlimits.probes=true\nlimits.retry_after=true\n"
      "limits.second_copies=true\nlimits.try_limit=4\nme=0\nregistry_mode=push\nsafety.fall_multiple=2.0\n"
      "safety.fall_s=3.0\nsafety.start_capacity=0.23\nsafety.warm_within_s=16.0\nspecifics.class_floor=0.4\n"
      "specifics.class_partial=0.95\nspecifics.fetch_parts=0\nspecifics.in_a_row=1\nspecifics.parts_a_call="
      "1\n"
      "specifics.sets=2\nspecifics.slabs=16\nspecifics.whole_at=1.0\nstats.source=pull\nweights=silent\nzone="
      "0\n";
  std::string records = std::string("\x0c") + word(0) + "\x01" + std::string(8, 's') +
                        word(static_cast<std::uint32_t>(settings.size())) + settings;
  double now = 9.5;
  std::string frame = word(static_cast<std::uint32_t>(records.size() + 16)) +
                      std::string(reinterpret_cast<const char*>(&now), 8) + word(2) + records;
  int answered = 0, refused = 0;
  for (int i = 0; i < rounds; ++i) {
    std::string text = i % 20 == 0 ? frame : mutate(frame);
    benchlink::Host host;
    try {
      host.handle_frame({reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
      ++answered;
    } catch (const benchlink::FrameError&) {
      ++refused;
    }
  }
  EXPECT_GT(answered, 0);
  EXPECT_GT(refused, 0);
}

}  // namespace
}  // namespace pearspar

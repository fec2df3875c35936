// The reader of requests and replies against a second one that takes all bytes at once and follows the
// grammar of RFC 9112 rule by rule. Streams of messages are drawn, spoilt, and handed over in pieces of any
// size. The reader may refuse more; what it takes, the other must take as the same message with the same
// bytes behind it, and the pieces must not matter. PEARSPAR_READER_ROUNDS in the environment makes the search
// longer.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "http/message.h"
#include "http_grammar.h"

namespace pearspar {
namespace {

using grammar::Grammar;
using grammar::Seen;
using http::MessageKind;
using http::Progress;

// The reader under test, driven as the front and the connections to nodes drive it.

struct Outcome {
  std::vector<Seen> seen;
  Progress last = Progress::more;
  int status = 0;
  std::string why;
  bool clean = true;  // after each message, exactly the bytes behind it were left

  bool operator==(const Outcome&) const = default;
};

Seen copied(MessageKind kind, const http::Message& message) {
  Seen seen;
  seen.first = kind == MessageKind::reply ? fmt::format("{:03}", message.status)
                                          : fmt::format("{} {}", message.method, message.target);
  for (const auto& [name, value] : message.headers) seen.fields.emplace_back(name, value);
  seen.body = message.body;
  seen.keep_alive = message.keep_alive;
  bool none = message.status == 204 || message.status == 304 || (message.status > 0 && message.status < 200);
  seen.length = none ? 0 : message.length.value_or(0);
  return seen;
}

// What is read: requests, replies, or replies to HEAD.
struct Kind {
  MessageKind kind;
  bool to_head = false;
};
constexpr Kind kinds[] = {{MessageKind::reply}, {MessageKind::request}, {MessageKind::reply, true}};

// `size` says how large the next piece is; `ahead` how many more come in while a whole message waits.
template <class Size, class Ahead>
Outcome read_in_pieces(Kind what, http::MessageLimits limits, std::string_view text, Size size, Ahead ahead) {
  MessageKind kind = what.kind;
  http::MessageReader reader(kind, limits);
  reader.expect_no_body(what.to_head);
  net::Buffer buffer;
  Outcome outcome;
  std::size_t came = 0;
  auto piece = [&] {
    std::size_t step = std::min(size(), text.size() - came);
    buffer.append(text.substr(came, step));
    came += step;
  };
  while (true) {
    switch (outcome.last = reader.advance(buffer)) {
      case Progress::more:
        if (came == text.size()) return outcome;
        piece();
        break;
      case Progress::failed:
        outcome.status = reader.failure_status();
        outcome.why = reader.failure_reason();
        return outcome;
      case Progress::done: {
        outcome.seen.push_back(copied(kind, reader.message()));
        for (int i = ahead(); i > 0; --i) piece();
        reader.next(buffer);
        outcome.seen.back().end = came - buffer.size();
        outcome.clean = outcome.clean && buffer.view() == text.substr(came - buffer.size(), buffer.size());
      }
    }
  }
}

// What is read: whole messages, and what one or two changes make of them.

class Draw {
 public:
  explicit Draw(std::uint64_t seed) : random_(seed) {}
  std::size_t below(std::size_t bound) { return bound == 0 ? 0 : random_() % bound; }
  template <std::size_t N>
  std::string one(const std::string_view (&from)[N]) {
    return std::string(from[below(N)]);
  }

  std::string message(Kind what) {
    MessageKind kind = what.kind;
    static constexpr std::string_view starts[] = {"GET /a/b?c", "POST /x/", "PUT /y", "DELETE /z/1"};
    static constexpr std::string_view answers[] = {"200 OK",    "503 Full", "421 Elsewhere", "204 None",
                                                   "103 Early", "404",      "200 ",          "500 x\ty"};
    static constexpr std::string_view fields[] = {
        "Host: a.example", "Request-Id: 7f3a",    "Deadline-Ms: 600", "Connection: keep-alive",
        "X-Empty:",        "Postmark:\t3e1b.07 ", "Connection: a, b", "x-odd!name: \x80 y"};
    std::string version = below(6) ? "HTTP/1.1" : "HTTP/1.0";
    std::string first = kind == MessageKind::request ? one(starts) + " " + version + "\r\n"
                                                     : version + " " + one(answers) + "\r\n";
    std::vector<std::string> lines;
    for (std::size_t i = below(4); i > 0; --i) {
      std::string line = one(fields) + "\r\n";
      if (std::find(lines.begin(), lines.end(), line) == lines.end()) lines.push_back(line);
    }
    std::string body;
    for (std::size_t i = below(30); i > 0; --i) body.push_back("ab01\r\n :;\0GH"[below(12)]);
    bool bodiless = first.find(" 204 ") != first.npos || first.find(" 103 ") != first.npos;
    if (bodiless) body.clear();
    if (!bodiless && below(2) == 0) {
      lines.push_back("Transfer-Encoding: " + std::string(below(2) ? "chunked" : "Chunked ") + "\r\n");
      body = chunked(body);
    } else if (!bodiless) {
      lines.push_back(fmt::format("Content-Length:{}{}\r\n", below(2) ? " " : "", body.size()));
    }
    std::shuffle(lines.begin(), lines.end(), random_);
    for (const auto& line : lines) first += line;
    return first + "\r\n" + (what.to_head ? "" : body);
  }

  std::string chunked(std::string_view body) {
    static constexpr std::string_view extensions[] = {"", "", "", ";a=b", " ; a=\"b\"", ";"};
    std::string all;
    while (!body.empty()) {
      std::size_t size = 1 + below(body.size());
      all += fmt::format("{}{:x}{}\r\n{}\r\n", below(4) ? "" : "00", size, one(extensions),
                         body.substr(0, size));
      body.remove_prefix(size);
    }
    return all + "0" + one(extensions) + "\r\n" + (below(4) ? "" : "T: x\r\n") + "\r\n";
  }

  // One change, of those that have parted readers before.
  void spoil(std::string& text) {
    static constexpr std::string_view lines[] = {
        "Content-Length: 5\r\n", "Content-Length: 0\r\n", "Content-Length: +3\r\n",
        "Content-Length: 3, 3\r\n", "Content-Length : 4\r\n", "Transfer-Encoding: chunked\r\n",
        // NOLINTNEXTLINE(bugprone-suspicious-missing-comma)
        "Transfer-Encoding:\v"
        "chunked\r\n",
        "Transfer-Encoding : chunked\r\n", "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: identity\r\n", " folded: x\r\n", "\tTransfer-Encoding: chunked\r\n",
        "X: y\nContent-Length: 2\r\n", "X: y\rContent-Length: 2\r\n", "Host: b.example\r\n",
        "Connection: close\r\n", "\r\n", "0\r\n\r\n", "5;x=\"\r\n", "3;a\nb\r\n",
        "GET /inside HTTP/1.1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
    static constexpr std::string_view odd[] = {"\r",   "\n",   "\r\n", "\n\n", " ",  "\t",   "\x0b",
                                               "\x7f", "\x85", ":",    ";",    ",",  "0",    "-",
                                               "+",    "0x",   "fff",  "1.0",  "\"", "HTTP/"};
    std::size_t at = below(text.size() + 1);
    switch (below(10)) {
      case 0:
      case 1:
      case 2:  // a whole line, where a line begins
        at = text.find("\r\n", at);
        if (at == text.npos) at = text.find("\r\n");
        return (void)text.insert(at == text.npos ? 0 : at + 2, one(lines));
      case 3:
      case 4:
        return (void)text.insert(at, one(odd));
      case 5:  // an end of a line that is half one
        at = text.find("\r\n", at);
        if (at == text.npos) return;
        return (void)text.erase(at + below(2), 1);
      case 6:
        return (void)text.erase(at, 1 + below(6));
      case 7:
        return (void)text.insert(at, text.substr(below(text.size()), below(40)));
      case 8:  // another size or status
        at = text.find_first_of("0123456789", at);
        if (at == text.npos) return;
        return (void)text.replace(at, 1, 1, "0123456789abcdef-+ x"[below(20)]);
      default:
        if (at < text.size()) text[at] = static_cast<char>(below(4) ? text[at] ^ (1 << below(8)) : 0);
    }
  }

 private:
  std::mt19937_64 random_;
};

#if defined(__SANITIZE_ADDRESS__)
constexpr int rounds_here = 1500;
#else
constexpr int rounds_here = 12000;
#endif

int rounds() {
  const char* named = std::getenv("PEARSPAR_READER_ROUNDS");
  return named ? std::atoi(named) : rounds_here;
}

std::string shown(std::string_view text) {
  std::string all;
  for (char c : text)
    all += c == '\r'                ? "\\r"
           : c == '\n'              ? "\\n\n"
           : grammar::field_char(c) ? std::string(1, c)
                                    : fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
  return all;
}

}  // namespace

class ReaderFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReaderFuzzTest);
  CPPUNIT_TEST(whatIsWholeIsTakenHoweverItComes);
  CPPUNIT_TEST(whatIsTakenIsWhatAStrictReaderTakes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void whatIsWholeIsTakenHoweverItComes() {
    for (int round = 0; round < rounds() / 8; ++round) {
      Draw draw(static_cast<std::uint64_t>(round));
      Kind kind = kinds[round % 3];
      std::string text;
      std::size_t count = 1 + draw.below(3);
      for (std::size_t i = 0; i < count; ++i) text += draw.message(kind);
      Outcome outcome = judged(kind, {}, text, draw, round);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("round {}: {}\n{}", round, outcome.why, shown(text)), count,
                                   outcome.seen.size());
    }
  }

  void whatIsTakenIsWhatAStrictReaderTakes() {
    std::map<std::string, int> refused;
    int taken = 0;
    for (int round = 0; round < rounds(); ++round) {
      Draw draw(1'000'000 + static_cast<std::uint64_t>(round));
      Kind kind = kinds[round % 3];
      std::string text = draw.message(kind) + (draw.below(2) ? draw.message(kind) : "");
      for (std::size_t i = 1 + draw.below(3); i > 0; --i) draw.spoil(text);
      http::MessageLimits limits;
      if (round % 5 == 0) limits = {70 + draw.below(60), 5 + draw.below(20)};
      Outcome outcome = judged(kind, limits, text, draw, round);
      taken += static_cast<int>(outcome.seen.size());
      if (outcome.last == Progress::failed) ++refused[outcome.why];
    }
    // The search is worth something only while both ends are met.
    CPPUNIT_ASSERT(taken > rounds() / 4);
    CPPUNIT_ASSERT(refused.size() >= 10);
  }

 private:
  // Reads `text` in many ways and holds all against the judge; the outcome in one piece.
  static Outcome judged(Kind kind, http::MessageLimits limits, const std::string& text, Draw& draw,
                        int round) {
    auto none = [] { return 0; };
    auto some = [&] { return static_cast<int>(draw.below(3)); };
    Outcome whole = read_in_pieces(
        kind, limits, text, [&] { return text.size(); }, none);
    auto same = [&](const Outcome& other, const std::string& how) {
      CPPUNIT_ASSERT_MESSAGE(
          fmt::format("round {}: read {}: {} messages ({} {}), in one piece {} ({} {})\n{}", round, how,
                      other.seen.size(), other.status, other.why, whole.seen.size(), whole.status, whole.why,
                      shown(text)),
          other == whole);
    };
    same(read_in_pieces(
             kind, limits, text, [] { return std::size_t{1}; }, none),
         "byte by byte");
    same(read_in_pieces(
             kind, limits, text, [&] { return 1 + draw.below(9); }, some),
         "in small pieces");
    same(read_in_pieces(
             kind, limits, text, [&] { return 1 + draw.below(90); }, some),
         "in large pieces");
    std::size_t cut = draw.below(text.size() + 1), left = cut;
    same(read_in_pieces(
             kind, limits, text, [&] { return left > 0 ? std::exchange(left, 0) : text.size(); }, none),
         fmt::format("cut at {}", cut));
    Grammar judge(kind.kind, text, kind.to_head);
    std::size_t at = 0;
    auto say = [&](const std::string& what, const Seen& strict) {
      return fmt::format("round {}: {}; strict: {}\n{}", round, what, strict.text(), shown(text));
    };
    CPPUNIT_ASSERT_MESSAGE(say("other bytes were left", {}), whole.clean);
    Seen strict;
    for (const Seen& seen : whole.seen) {
      bool good = judge.read(at, strict) == Grammar::Verdict::done && seen == strict;
      CPPUNIT_ASSERT_MESSAGE(say("taken: " + seen.text(), strict), good);
      CPPUNIT_ASSERT_MESSAGE(say("larger than is taken: " + seen.text(), strict),
                             seen.body.size() <= limits.body);
      at = strict.end;
    }
    // What is refused beyond the judge is named; what the judge takes is not waited for.
    if (judge.read(at, strict) != Grammar::Verdict::done) return whole;
    static const std::set<std::string> more = {
        "neither Content-Length nor chunks", "a reply without a length",
        "a reply that has no body names a length", "the head is too large", "the body is too large"};
    CPPUNIT_ASSERT_MESSAGE(say("not taken: " + whole.why, strict),
                           whole.last == Progress::failed && more.contains(whole.why));
    return whole;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReaderFuzzTest);

}  // namespace pearspar

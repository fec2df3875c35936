// Tests of log::Logger on a pipe: line formats, rate limit, and behaviour when the pipe is full.
#include "log/log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include "json/json.h"

namespace pearspar::log {
namespace {

struct Pipe {
  Pipe() {
    EXPECT_EQ(::pipe(ends), 0);
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
  }
  ~Pipe() {
    ::close(ends[0]);
    ::close(ends[1]);
  }
  std::string read() {
    std::string text;
    char chunk[4096];
    for (ssize_t bytes_read = 0; (bytes_read = ::read(ends[0], chunk, sizeof chunk)) > 0;)
      text.append(chunk, static_cast<std::size_t>(bytes_read));
    return text;
  }
  int ends[2] = {-1, -1};
};

TEST(Log, LineHasALevelAndNoControlCharacters) {
  Pipe pipe;
  Logger log(pipe.ends[1], Level::info, "n3");
  log.info("peer said {}", "a\nb\x01");
  log.debug("not shown");
  std::string text = pipe.read();
  EXPECT_NE(text.find(" n3 info: peer said a?b?\n"), std::string::npos);
  EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1);
}

TEST(Log, LinesAboveTheRateAreDroppedAndCounted) {
  Pipe pipe;
  Logger log(pipe.ends[1], Level::info, "n3");
  for (int i = 0; i < 5000; ++i) log.info("line {}", i);
  std::string text = pipe.read();
  EXPECT_LT(std::count(text.begin(), text.end(), '\n'), 2000);
  EXPECT_GT(log.dropped(), 3000u);
}

// Guards against a logger that blocks when nobody reads its output.
TEST(Log, FullPipeDoesNotBlockTheWriter) {
  Pipe pipe;
  Logger log(pipe.ends[1], Level::info, "n3");
  std::string filler(4096, 'x');
  ::fcntl(pipe.ends[1], F_SETFL, O_NONBLOCK);
  while (::write(pipe.ends[1], filler.data(), filler.size()) > 0) {
  }
  ::fcntl(pipe.ends[1], F_SETFL, 0);
  for (int i = 0; i < 10; ++i) log.error("dropped line");
  EXPECT_EQ(log.dropped(), 10u);
  pipe.read();
  log.error("next line");
  EXPECT_NE(pipe.read().find("(10 lines dropped) next line"), std::string::npos);
}

TEST(Log, JsonFormatIsOneObjectPerLineForAnyText) {
  Pipe pipe;
  Options options;
  options.json = true;
  Logger log(pipe.ends[1], Level::info, "n3", options);
  log.warning("peer \"{}\" said {}", "a\\b", "x\ny\x01");
  log.info("{}", std::string(5000, '"'));
  std::string text = pipe.read();
  std::size_t end = text.find('\n');
  json::Value first = json::parse(std::string_view(text).substr(0, end));
  EXPECT_EQ(first.find("level")->raw, "warning");
  EXPECT_EQ(first.find("name")->raw, "n3");
  EXPECT_EQ(*first.find("text")->text(), "peer \"a\\b\" said x\ny\x01");
  EXPECT_NO_THROW(json::parse(std::string_view(text).substr(end + 1)));
  EXPECT_LT(text.size() - end, 4096u);  // a longer write would not be atomic
}

}  // namespace
}  // namespace pearspar::log

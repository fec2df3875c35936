// Tests of the host: instances, member lists and malformed frames.
#include "benchlink/host.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <random>

namespace pearspar::benchlink {
namespace {

const char* const settings_text =
    "balancers=2\nme=0\nzone=0\nclasses.count=1\nclasses.0.aim_s=2.0\nclasses.0.give_up_s=4.0\n"
    "classes.0.dedup_window_s=5.0\nclasses.0.effect=retryable\nclasses.0.late_worth=0.3\nclasses.0.name=x\n"
    "classes.0.worth=5.0\ncounted_by=request\nlimits.cancel=true\nlimits.max_open=159\nlimits.peers=false\n"
    "limits.probes=false\nlimits.retry_after=true\nlimits.second_copies=true\nlimits.try_limit=4\n"
    "registry_mode=push\nsafety.fall_multiple=2.0\nsafety.fall_s=3.0\nsafety.start_capacity=0.23\n"
    "safety.warm_within_s=16.0\nspecifics.class_floor=0.4\nspecifics.class_partial=0.95\n"
    "specifics.fetch_parts=0\nspecifics.in_a_row=1\nspecifics.parts_a_call=1\nspecifics.sets=1\n"
    "specifics.slabs=4\nspecifics.whole_at=1.0\nstats.fields=\nstats.source=silent\nweights=silent\n"
    "quantum_s=0.005\n";

// Builds a frame record by record, without the codec under test.
class Frame {
 public:
  explicit Frame(double now) : now_(now) {}

  template <typename... T>
  Frame& record(std::uint8_t code, T... fields) {
    put(code);
    (put(fields), ...);
    ++count_;
    return *this;
  }
  Frame& text(const std::string& text) {
    bytes_.insert(bytes_.end(), text.begin(), text.end());
    return *this;
  }
  Frame& instance(std::uint32_t number) { return record(12, number); }
  Frame& open(std::uint64_t seed) {
    std::string text = settings_text;
    return record(1, seed, static_cast<std::uint32_t>(text.size())).text(text);
  }
  Frame& list(std::uint8_t slot, std::vector<std::uint32_t> nodes) {
    record(11, slot, static_cast<std::uint32_t>(nodes.size()));
    for (std::uint32_t node : nodes) {
      put(node);
      put(std::uint8_t{0});
      put(std::uint16_t{0});
      put(std::uint16_t{0});
      put(std::uint8_t{1});
      put(1.0f);
      put(0.0);
    }
    return *this;
  }
  Frame& members_changed(std::uint8_t form, std::uint8_t slot) {
    return record(2, form, std::uint32_t{1}, slot);
  }
  Frame& submit(std::uint32_t id, std::uint16_t cls, float ordinal, float shard, float amount) {
    return record(3, id, cls, std::uint32_t{0}, std::uint64_t{0}, now_ + 4, 0.0, ordinal, shard, amount,
                  std::uint16_t{0});
  }
  Bytes bytes() const {
    Bytes frame(bytes_.size() + 16);
    auto size = static_cast<std::uint32_t>(frame.size());
    std::memcpy(frame.data(), &size, 4);
    std::memcpy(frame.data() + 4, &now_, 8);
    std::memcpy(frame.data() + 12, &count_, 4);
    std::copy(bytes_.begin(), bytes_.end(), frame.begin() + 16);
    return frame;
  }

 private:
  template <typename T>
  void put(T value) {
    std::size_t at = bytes_.size();
    bytes_.resize(at + sizeof(T));
    std::memcpy(bytes_.data() + at, &value, sizeof(T));
  }

  double now_;
  std::uint32_t count_ = 0;
  Bytes bytes_;
};

std::uint32_t record_count(const Bytes& reply) {
  std::uint32_t count;
  std::memcpy(&count, reply.data(), 4);
  return count;
}

Frame& add_query(Frame& frame) {
  return frame.submit(1, 0, 1, -1, 2).submit(2, 0, 1, 0, 0.5f).submit(3, 0, 1, 1, 0.5f);
}

TEST(Host, SendsEachPart) {
  Host host;
  Frame frame(10);
  frame.instance(4).open(9).list(0, {7, 8}).members_changed(2, 0);
  Bytes reply = host.handle_frame(add_query(frame).bytes());
  ASSERT_EQ(reply[8], 6);  // select instance 4
  EXPECT_EQ(reply[9], 4);
  EXPECT_EQ(reply[13], 9);             // send part
  EXPECT_EQ(reply[13 + 17], 9);        // send part
  EXPECT_EQ(record_count(reply), 4u);  // and one timer
}

TEST(Host, RestartedInstanceStartsWithoutState) {
  Host host;
  Frame first(10);
  first.instance(0).open(9).list(0, {7, 8}).members_changed(2, 0);
  host.handle_frame(add_query(first).bytes());
  Frame second(11);
  second.instance(0).record(10).open(10).members_changed(2, 0);
  second.record(5, std::uint32_t{2}, std::uint32_t{7}, 0.1, std::uint16_t{1}, std::uint8_t{1},
                std::uint8_t{0}, std::uint8_t{0});
  Bytes reply = host.handle_frame(second.bytes());
  EXPECT_EQ(record_count(reply), 0u);
}

TEST(Host, MemberListsAreSharedAndReplacedInOrder) {
  Host host;
  Frame frame(10);
  frame.instance(0)
      .open(9)
      .list(0, {7})
      .members_changed(2, 0)
      .list(0, {8})
      .instance(1)
      .open(9)
      .members_changed(2, 0);
  frame.instance(0).submit(1, 0, 1, -1, 1).submit(2, 0, 1, 0, 1.0f);
  frame.instance(1).submit(1, 0, 1, -1, 1).submit(2, 0, 1, 0, 1.0f);
  Bytes reply = host.handle_frame(frame.bytes());
  // Twice: select instance 5 bytes, send 17, set timer 17; after a header of 8.
  ASSERT_EQ(reply.size(), 8u + 2 * (5 + 17 + 17));
  EXPECT_EQ(reply[8 + 5 + 5], 7);
  EXPECT_EQ(reply[8 + 39 + 5 + 5], 8);
}

// An instance's actions do not depend on the other instances of its process.
TEST(Host, InstancesAreIndependent) {
  Host together, alone;
  Frame both(10), one(10);
  both.instance(0).open(9).list(0, {7, 8, 9}).members_changed(2, 0);
  add_query(both).instance(1).open(9).members_changed(2, 0);
  Bytes shared = together.handle_frame(add_query(both).bytes());
  one.instance(1).open(9).list(0, {7, 8, 9}).members_changed(2, 0);
  Bytes single = alone.handle_frame(add_query(one).bytes());
  Bytes tail(shared.end() - static_cast<std::ptrdiff_t>(single.size() - 8), shared.end());
  EXPECT_EQ(tail, Bytes(single.begin() + 8, single.end()));
}

TEST(Host, InvalidRecordsThrow) {
  EXPECT_THROW(Host().handle_frame(Frame(1).instance(2).record(7, std::uint64_t{1}).bytes()), FrameError);
  EXPECT_THROW(Host().handle_frame(Frame(1).record(7, std::uint64_t{1}).bytes()), FrameError);
  EXPECT_THROW(Host().handle_frame(Frame(1).instance(0).open(1).members_changed(2, 0).bytes()), FrameError);
  EXPECT_THROW(Host().handle_frame(Frame(1).instance(0).open(1).open(1).bytes()), FrameError);
  EXPECT_THROW(Host().handle_frame(Frame(1).instance(0).record(10).bytes()), FrameError);
  EXPECT_THROW(Host().handle_frame(Frame(1).instance(0).open(1).submit(1, 9, 1, -1, 1).bytes()), FrameError);
}

// Truncated, corrupted and overlong frames give a FrameError with a single-line message or a valid reply.
// Under the sanitizers, memory errors fail the test.
TEST(Host, CorruptedFramesDoNotCrash) {
  std::mt19937_64 engine(11);
  auto below = [&](std::size_t limit) { return static_cast<std::size_t>(engine() % limit); };
  std::size_t refused = 0, answered = 0;
  for (int round = 0; round < 4000; ++round) {
    Host host;
    Frame opening(10), later(10.02);
    opening.instance(0).open(9).list(0, {7, 8}).members_changed(2, 0);
    add_query(opening);
    later.instance(0).record(5, std::uint32_t{2}, std::uint32_t{7}, 0.1, std::uint16_t{1}, std::uint8_t{1},
                             std::uint8_t{0}, std::uint8_t{0});
    later.record(8, 0.01, std::uint16_t{1}, std::uint32_t{7}, std::uint8_t{1}, 3.0f)
        .record(7, std::uint64_t{1});
    later.record(9, std::uint32_t{1}, std::uint16_t{2}, std::uint16_t{0x4141}).record(6, std::uint32_t{1});
    for (Bytes frame : {opening.bytes(), later.bytes()}) {
      switch (below(4)) {
        case 0:
          frame.resize(below(frame.size() + 1));
          break;
        case 1:
          frame.insert(frame.end(), below(40) + 1, static_cast<std::uint8_t>(below(256)));
          break;
        default:
          for (std::size_t flips = below(6); flips > 0; --flips)
            frame[below(frame.size())] ^= static_cast<std::uint8_t>(1u << below(8));
      }
      if (frame.size() >= 4 && below(3) > 0) {  // so that the corrupted frame passes the length check
        auto size = static_cast<std::uint32_t>(frame.size());
        std::memcpy(frame.data(), &size, 4);
      }
      try {
        Bytes reply = host.handle_frame(frame);
        std::uint32_t stated;
        ASSERT_GE(reply.size(), 8u);
        std::memcpy(&stated, reply.data() + 4, 4);
        EXPECT_EQ(stated, reply.size());
        ++answered;
      } catch (const FrameError& error) {
        std::string text = error.what();
        EXPECT_FALSE(text.empty());
        EXPECT_EQ(text.find('\n'), std::string::npos);
        ++refused;
      }
    }
  }
  EXPECT_GT(refused, 1000u);
  EXPECT_GT(answered, 300u);
}

}  // namespace
}  // namespace pearspar::benchlink

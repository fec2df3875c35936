// The bench's frames: records of a batch decoded into interface events, actions encoded into a reply.
// Everything that knows codes, offsets and the wire's words is in frame.cpp and settings.cpp.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

#include "policy/policy.h"

namespace pearspar::benchlink {

// What cannot be read as the wire slot says; the text is one plain line.
class FrameError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

using Bytes = std::vector<std::uint8_t>;
using MemberList = std::shared_ptr<const std::vector<Member>>;

inline constexpr std::size_t batch_header_size = 16;
inline constexpr std::size_t max_frame_size = std::size_t{1} << 30;

struct InstanceSelected {
  std::uint32_t instance = 0;
};
struct InstanceStarted {
  std::uint64_t seed = 0;
  std::string settings;
};
struct MemberListStored {
  std::uint8_t slot = 0;
  MemberList members;
};
struct MemberListChanged {
  MemberListForm form = MemberListForm::delta;
  std::uint32_t version = 0;
  std::uint8_t slot = 0;
};
struct InstanceStopped {};

using Record = std::variant<InstanceSelected, InstanceStarted, MemberListStored, MemberListChanged,
                            InstanceStopped, Event>;

struct Batch {
  Time now{};
  std::vector<Record> records;
};

// The whole frame's length as its header states it; throws where no frame can be so long.
std::size_t declared_frame_size(std::span<const std::uint8_t> header);
Batch decode_batch(std::span<const std::uint8_t> frame);

class ReplyWriter {
 public:
  void begin_instance(std::uint32_t number);
  void add_action(const Action& action);
  // The module has thrown: the bench is to show `text` and stop.
  void add_crash(const std::string& text);
  Bytes finish() const;

 private:
  Bytes body_;
  std::uint32_t records_ = 0;
};

}  // namespace pearspar::benchlink

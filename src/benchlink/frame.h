// The simulator's frame format: decodes the records of a batch into events of the decision module and encodes
// its actions into a reply. All record codes and offsets are in frame.cpp.
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

// A frame that does not follow the format. The message is a single line.
class FrameError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

using Bytes = std::vector<std::uint8_t>;
using MemberList = std::shared_ptr<const std::vector<Member>>;

inline constexpr std::size_t batch_header_size = 16;
inline constexpr std::size_t max_frame_size = std::size_t{1} << 30;

// The records that follow are for this instance.
struct InstanceSelected {
  std::uint32_t instance = 0;
};
// Starts a new instance under the selected number.
struct InstanceStarted {
  std::uint64_t seed = 0;
  std::string settings;
};
// A member list that MemberListChanged records may refer to by its slot.
struct MemberListStored {
  std::uint8_t slot = 0;
  MemberList members;
};
// The selected instance's member list has changed to the one in the slot.
struct MemberListChanged {
  MemberListForm form = MemberListForm::delta;
  std::uint32_t version = 0;
  std::uint8_t slot = 0;
};
// Discards the selected instance with its state.
struct InstanceStopped {};

using Record = std::variant<InstanceSelected, InstanceStarted, MemberListStored, MemberListChanged,
                            InstanceStopped, Event>;

// The records of one frame, all at the same time.
struct Batch {
  Time now{};
  std::vector<Record> records;
};

// Returns the frame's length, header included, from its header; throws FrameError if it is out of range.
std::size_t declared_frame_size(std::span<const std::uint8_t> header);
// Decodes a whole frame; throws FrameError if it is malformed.
Batch decode_batch(std::span<const std::uint8_t> frame);

// Encodes a reply record by record.
class ReplyWriter {
 public:
  // The actions that follow are of this instance.
  void begin_instance(std::uint32_t number);
  void add_action(const Action& action);
  // The decision module has thrown: the simulator shows `text` and stops.
  void add_crash(const std::string& text);
  Bytes finish() const;

 private:
  Bytes body_;
  std::uint32_t records_ = 0;
};

}  // namespace pearspar::benchlink

// The frames between brokers and nodes: a four-byte big-endian length, a letter and a payload. The length
// covers the letter and the payload.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pearspar::nodelink {

inline constexpr std::size_t frame_header_bytes = 4;
// A reply to a client is limited to 64 KiB, so no value in it can be larger.
inline constexpr std::size_t max_frame_bytes = 66 * 1024;

struct OutgoingPart {
  std::string_view id;
  int shard = 0;
  std::int64_t wait_ms = 0;
  std::string_view text;
};

std::string call_frame(std::span<const OutgoingPart> parts);
std::string give_up_frame(std::string_view id);
std::string probe_frame(bool for_load);

// A frame within a buffer.
struct FrameView {
  char letter = 0;
  std::string_view rest;
  std::size_t size = 0;  // of the whole frame, length field included
};
enum class FrameResult { more, whole, broken };
// Reads the frame at the start of `bytes`; `frame` is set only if it is whole.
FrameResult next_frame(std::string_view bytes, FrameView& frame);

enum class PartOutcome { served, error, refused };
// The answer to one part, with views into the frame.
struct PartAnswer {
  std::string_view id;
  PartOutcome end = PartOutcome::error;
  std::string_view report;  // empty if there is none
  std::string_view value;
};
// Nothing if the text is malformed.
std::optional<PartAnswer> parse_answer(std::string_view rest);

// Parses "inflight=7,util=0.61": the values in the order of `fields`, 0 for missing ones; empty if none is
// known.
std::vector<double> parse_report(std::string_view report, std::span<const std::string> fields);

}  // namespace pearspar::nodelink

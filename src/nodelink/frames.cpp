#include "nodelink/frames.h"

#include <charconv>
#include <cmath>

namespace pearspar::nodelink {
namespace {

constexpr char call_letter = 'm', give_up_letter = 'n', probe_letter = 'o', load_probe_letter = 'p';

std::string frame(char letter, std::string_view rest) {
  std::size_t size = rest.size() + 1;
  std::string out;
  out.reserve(frame_header_bytes + size);
  for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>(size >> shift & 255));
  out.push_back(letter);
  out += rest;
  return out;
}

std::string_view next_token(std::string_view& line, char mark) {
  std::size_t end = line.find(mark);
  std::string_view word = line.substr(0, end);
  line.remove_prefix(end == line.npos ? line.size() : end + 1);
  return word;
}

// The names of report fields in the settings and on the wire.
struct FieldName {
  std::string_view in_settings;
  std::string_view on_wire;
};
constexpr FieldName field_names[] = {{"outstanding", "inflight"}, {"backlog", "queue"},
                                     {"utilization", "util"},     {"recent_ms", "latency_ms"},
                                     {"throughput", "qps"},       {"errors_per_s", "eps"}};

bool names_field(std::string_view word, std::string_view field) {
  if (word == field) return true;
  for (const FieldName& name : field_names)
    if (name.in_settings == field && name.on_wire == word) return true;
  return false;
}

}  // namespace

std::string call_frame(std::span<const OutgoingPart> parts) {
  std::string rest;
  for (const OutgoingPart& part : parts) {
    rest += part.id;
    rest += ' ' + std::to_string(part.shard) + " d=" + std::to_string(part.wait_ms) + ' ' +
            std::to_string(part.text.size()) + '\n';
    rest += part.text;
  }
  return frame(call_letter, rest);
}

std::string give_up_frame(std::string_view id) { return frame(give_up_letter, id); }

std::string probe_frame(bool for_load) { return frame(for_load ? load_probe_letter : probe_letter, {}); }

FrameResult next_frame(std::string_view bytes, FrameView& frame) {
  if (bytes.size() < frame_header_bytes) return FrameResult::more;
  std::size_t size = 0;
  for (std::size_t i = 0; i < frame_header_bytes; ++i)
    size = size << 8 | static_cast<unsigned char>(bytes[i]);
  if (size == 0 || size > max_frame_bytes) return FrameResult::broken;
  if (bytes.size() < frame_header_bytes + size) return FrameResult::more;
  frame.letter = bytes[frame_header_bytes];
  frame.rest = bytes.substr(frame_header_bytes + 1, size - 1);
  frame.size = frame_header_bytes + size;
  return FrameResult::whole;
}

std::optional<PartAnswer> parse_answer(std::string_view rest) {
  std::size_t line_end = rest.find('\n');
  if (line_end == rest.npos) return std::nullopt;
  std::string_view line = rest.substr(0, line_end);
  PartAnswer answer;
  answer.id = next_token(line, ' ');
  std::string_view end = next_token(line, ' ');
  next_token(line, ' ');  // the score, not used here
  answer.report = line == "-" ? std::string_view{} : line;
  answer.value = rest.substr(line_end + 1);
  if (answer.id.empty()) return std::nullopt;
  if (end == "good")
    answer.end = PartOutcome::served;
  else if (end == "bad")
    answer.end = PartOutcome::error;
  else if (end == "later")
    answer.end = PartOutcome::refused;
  else
    return std::nullopt;
  return answer;
}

std::vector<double> parse_report(std::string_view report, std::span<const std::string> fields) {
  std::vector<double> values(fields.size());
  bool any = false;
  while (!report.empty()) {
    std::string_view item = next_token(report, ',');
    std::string_view word = next_token(item, '=');
    double value = 0;
    auto [stop, error] = std::from_chars(item.data(), item.data() + item.size(), value);
    if (error != std::errc() || stop != item.data() + item.size() || !std::isfinite(value)) continue;
    for (std::size_t i = 0; i < fields.size(); ++i) {
      if (!names_field(word, fields[i])) continue;
      values[i] = value;
      any = true;
    }
  }
  if (!any) values.clear();
  return values;
}

}  // namespace pearspar::nodelink

// The table of instances in this process: hands each its events and collects its actions.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <vector>

#include "benchlink/frame.h"

namespace pearspar::benchlink {

class Host {
 public:
  // One batch in, its reply out. Throws FrameError on a frame that cannot be carried out as it stands.
  Bytes handle_frame(std::span<const std::uint8_t> frame);

 private:
  struct Instance {
    std::unique_ptr<Policy> policy;
    int classes = 0;
    std::vector<Event> events;
  };

  Instance& open_instance(std::uint32_t number);
  void take(std::uint32_t number, Record& record);
  void take_event(std::uint32_t number, Event& event);

  std::map<std::uint32_t, Instance> instances_;
  std::array<MemberList, 16> lists_;
};

}  // namespace pearspar::benchlink

// Runs the decision module's instances of this process: passes each its events and collects its actions.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <vector>

#include "benchlink/frame.h"

namespace pearspar::benchlink {

// All instances of one process, and the member lists that they share.
class Host {
 public:
  // Handles one batch and returns the reply. Throws FrameError if the frame is malformed or refers to an
  // instance, member list or class that does not exist.
  Bytes handle_frame(std::span<const std::uint8_t> frame);

 private:
  struct Instance {
    std::unique_ptr<Policy> policy;
    int class_count = 0;
    std::vector<Event> events;
  };

  Instance& find_instance(std::uint32_t number);
  void apply_record(std::uint32_t number, Record& record);
  void add_event(std::uint32_t number, Event& event);

  std::map<std::uint32_t, Instance> instances_;
  std::array<MemberList, 16> member_lists_;
};

}  // namespace pearspar::benchlink

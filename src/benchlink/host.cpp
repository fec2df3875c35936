#include "benchlink/host.h"

#include <optional>

#include "settings/settings.h"

namespace pearspar::benchlink {
namespace {

Settings parse_settings(const std::string& text) {
  try {
    return settings::read_settings(settings::values_of_lines(text));
  } catch (const settings::SettingsError& error) {
    throw FrameError(error.what());
  }
}

}  // namespace

Host::Instance& Host::find_instance(std::uint32_t number) {
  auto found = instances_.find(number);
  if (found == instances_.end())
    throw FrameError("event for instance " + std::to_string(number) + ", which is not open");
  return found->second;
}

void Host::apply_record(std::uint32_t number, Record& record) {
  if (auto* started = std::get_if<InstanceStarted>(&record)) {
    if (instances_.count(number) != 0)
      throw FrameError("instance " + std::to_string(number) + " is already open");
    Settings settings = parse_settings(started->settings);
    Instance& instance = instances_[number];
    instance.class_count = static_cast<int>(settings.classes.size());
    instance.policy = make_policy(settings, started->seed);
  } else if (std::get_if<InstanceStopped>(&record)) {
    find_instance(number);
    instances_.erase(number);
  } else if (auto* change = std::get_if<MemberListChanged>(&record)) {
    MembersChanged changed{change->form, change->version, nullptr};
    if (change->form != MemberListForm::failed) {
      if (change->slot >= member_lists_.size() || !member_lists_[change->slot])
        throw FrameError("member list number " + std::to_string(change->slot) + " is not stored");
      changed.members = member_lists_[change->slot];
    }
    find_instance(number).events.emplace_back(std::move(changed));
  } else {
    add_event(number, std::get<Event>(record));
  }
}

void Host::add_event(std::uint32_t number, Event& event) {
  Instance& instance = find_instance(number);
  if (auto* query = std::get_if<QueryArrived>(&event); query && query->cls >= instance.class_count)
    throw FrameError("query class " + std::to_string(query->cls) + " is not in the settings");
  instance.events.push_back(std::move(event));
}

Bytes Host::handle_frame(std::span<const std::uint8_t> frame) {
  Batch batch = decode_batch(frame);
  std::optional<std::uint32_t> current;
  for (Record& record : batch.records) {
    if (auto* selected = std::get_if<InstanceSelected>(&record)) {
      current = selected->instance;
    } else if (auto* stored = std::get_if<MemberListStored>(&record)) {
      member_lists_[stored->slot] = stored->members;
    } else if (!current) {
      throw FrameError("record for an instance before any instance is selected");
    } else {
      apply_record(*current, record);
    }
  }
  ReplyWriter reply;
  std::vector<Action> actions;
  for (auto& [number, instance] : instances_) {
    if (instance.events.empty()) continue;
    actions.clear();
    try {
      instance.policy->handle(batch.now, instance.events, actions);
    } catch (const std::exception& error) {
      reply.begin_instance(number);
      reply.add_crash(error.what());
      return reply.finish();
    }
    instance.events.clear();
    if (actions.empty()) continue;
    reply.begin_instance(number);
    for (const Action& action : actions) reply.add_action(action);
  }
  return reply.finish();
}

}  // namespace pearspar::benchlink

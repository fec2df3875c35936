#include "benchlink/host.h"

#include <optional>

#include "settings/settings.h"

namespace pearspar::benchlink {
namespace {

Settings settings_of(const std::string& text) {
  try {
    return settings::read_settings(settings::values_of_lines(text));
  } catch (const settings::SettingsError& error) {
    throw FrameError(error.what());
  }
}

}  // namespace

Host::Instance& Host::open_instance(std::uint32_t number) {
  auto found = instances_.find(number);
  if (found == instances_.end())
    throw FrameError("an event for instance " + std::to_string(number) + ", which is not open");
  return found->second;
}

void Host::take(std::uint32_t number, Record& record) {
  if (auto* opened = std::get_if<InstanceStarted>(&record)) {
    if (instances_.count(number) != 0)
      throw FrameError("instance " + std::to_string(number) + " is opened while it is open");
    Settings settings = settings_of(opened->settings);
    Instance& instance = instances_[number];
    instance.classes = static_cast<int>(settings.classes.size());
    instance.policy = make_policy(settings, opened->seed);
  } else if (std::get_if<InstanceStopped>(&record)) {
    open_instance(number);
    instances_.erase(number);
  } else if (auto* news = std::get_if<MemberListChanged>(&record)) {
    MembersChanged changed{news->form, news->version, nullptr};
    if (news->form != MemberListForm::failed) {
      if (news->slot >= lists_.size() || !lists_[news->slot])
        throw FrameError("a list is named by number " + std::to_string(news->slot) + ", which holds none");
      changed.members = lists_[news->slot];
    }
    open_instance(number).events.emplace_back(std::move(changed));
  } else {
    take_event(number, std::get<Event>(record));
  }
}

void Host::take_event(std::uint32_t number, Event& event) {
  Instance& instance = open_instance(number);
  if (auto* query = std::get_if<QueryArrived>(&event); query && query->cls >= instance.classes)
    throw FrameError("a query of class " + std::to_string(query->cls) + ", which the settings do not hold");
  instance.events.push_back(std::move(event));
}

Bytes Host::handle_frame(std::span<const std::uint8_t> frame) {
  Batch batch = decode_batch(frame);
  std::optional<std::uint32_t> current;
  for (Record& record : batch.records) {
    if (auto* named = std::get_if<InstanceSelected>(&record)) {
      current = named->instance;
    } else if (auto* kept = std::get_if<MemberListStored>(&record)) {
      lists_[kept->slot] = kept->members;
    } else if (!current) {
      throw FrameError("a record for an instance before any instance is named");
    } else {
      take(*current, record);
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

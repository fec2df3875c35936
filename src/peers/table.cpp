#include "peers/table.h"

#include <algorithm>

namespace pearspar::peers {

bool SeenNumbers::take(std::uint64_t number) {
  if (number <= floor_ || std::find(seen_.begin(), seen_.end(), number) != seen_.end()) return false;
  floor_ = std::max(floor_, seen_[next_]);
  seen_[next_] = number;
  next_ = (next_ + 1) % seen_.size();
  return true;
}

Member* Table::find(std::string_view name) {
  auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}
const Member* Table::find(std::string_view name) const {
  auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

Member* Table::add(const std::string& name) {
  if (members_.size() >= most_) return nullptr;
  Member& member = members_[name];
  member.name = name;
  member.differs = member.records_differ = net::Time::max();
  // Not in force until a change says so.
  member.standing.verdict = Verdict::gone;
  return &member;
}

void Table::erase(const std::string& name) {
  auto found = members_.find(name);
  if (found == members_.end()) return;
  take_out(found->second);
  members_.erase(found);
}

bool Table::read_word(const std::string& word, Member& into) {
  wire::Word read;
  if (!read.ParseFromString(word)) return false;
  if (read.port() == 0 || read.port() > 0xffff || read.serves_port() > 0xffff ||
      !wire::Phase_IsValid(read.phase()))
    return false;
  into.word = word;
  into.address = {read.host(), static_cast<std::uint16_t>(read.port())};
  into.serves = {read.serves_host(), static_cast<std::uint16_t>(read.serves_port())};
  into.zone = read.zone();
  into.region = read.region();
  into.version = read.version();
  into.standing.phase = static_cast<Phase>(read.phase());
  return true;
}

std::uint64_t Table::weight(std::string_view name, const Standing& standing) {
  return hash_of(name, standing.run * 0x9e3779b97f4a7c15u + standing.incarnation);
}

std::uint64_t Table::weight(std::string_view name, std::uint64_t run, const Shelf& shelf) {
  std::uint64_t sum = 0;
  for (const auto& [key, record] : shelf)
    sum += hash_of(key, hash_of(name, run) + record.version * 0x9e3779b97f4a7c15u);
  return sum;
}

std::size_t Table::bucket(std::string_view name) { return hash_of(name, 1) % sums_in_summary; }

void Table::take_out(Member& member) {
  if (!member.standing.in_force()) return;
  const std::uint64_t standing = weight(member.name, member.standing);
  const std::uint64_t shelf = weight(member.name, member.standing.run, member.shelf);
  digest_ -= standing;
  records_ -= shelf;
  sums_[bucket(member.name)] -= standing + shelf;
  in_force_.back()->place = member.place;
  std::swap(in_force_[member.place], in_force_.back());
  in_force_.pop_back();
  auto there = places_.find(member.address);
  if (there != places_.end() && there->second == &member) places_.erase(there);
}

void Table::put_in(Member& member) {
  if (!member.standing.in_force()) return;
  const std::uint64_t standing = weight(member.name, member.standing);
  const std::uint64_t shelf = weight(member.name, member.standing.run, member.shelf);
  digest_ += standing;
  records_ += shelf;
  sums_[bucket(member.name)] += standing + shelf;
  member.place = in_force_.size();
  in_force_.push_back(&member);
  places_[member.address] = &member;
}

Member* Table::at(const net::Address& address) const {
  auto found = places_.find(address);
  return found == places_.end() ? nullptr : found->second;
}

std::size_t bytes_of(const Shelf& shelf) {
  std::size_t bytes = 0;
  for (const auto& [key, record] : shelf) bytes += key.size() + record.value.size();
  return bytes;
}

bool merge_shelf(Shelf& held, const wire::Shelf& heard, bool& changed) {
  Shelf next = held;
  for (const wire::Record& record : heard.records()) {
    Record& at = next[record.key()];
    if (record.version() > at.version) at = {record.value(), record.version()};
  }
  if (next.size() > static_cast<std::size_t>(most_records) || bytes_of(next) > largest_shelf) return false;
  changed = next != held;
  held = std::move(next);
  return true;
}

}  // namespace pearspar::peers

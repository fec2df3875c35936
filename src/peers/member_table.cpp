#include "peers/member_table.h"

#include <algorithm>

namespace pearspar::peers {

bool ReplayWindow::accept(std::uint64_t number) {
  if (number <= floor_ || std::find(seen_.begin(), seen_.end(), number) != seen_.end()) return false;
  floor_ = std::max(floor_, seen_[next_]);
  seen_[next_] = number;
  next_ = (next_ + 1) % seen_.size();
  return true;
}

Member* MemberTable::find(std::string_view name) {
  auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}
const Member* MemberTable::find(std::string_view name) const {
  auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

Member* MemberTable::add(const std::string& name) {
  if (members_.size() >= max_members_) return nullptr;
  Member& member = members_[name];
  member.name = name;
  member.digest_differs_since = member.records_differ_since = net::Time::max();
  // Not in force until change() sets its status.
  member.status.verdict = Verdict::gone;
  return &member;
}

void MemberTable::erase(const std::string& name) {
  auto found = members_.find(name);
  if (found == members_.end()) return;
  remove_from_index(found->second);
  members_.erase(found);
}

bool MemberTable::read_word(const std::string& word, Member& into) {
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
  into.status.phase = static_cast<Phase>(read.phase());
  return true;
}

std::uint64_t MemberTable::weight(std::string_view name, const MemberStatus& status) {
  return hash_of(name, status.run * 0x9e3779b97f4a7c15u + status.incarnation);
}

std::uint64_t MemberTable::weight(std::string_view name, std::uint64_t run, const RecordMap& records) {
  std::uint64_t sum = 0;
  for (const auto& [key, record] : records)
    sum += hash_of(key, hash_of(name, run) + record.version * 0x9e3779b97f4a7c15u);
  return sum;
}

std::size_t MemberTable::bucket(std::string_view name) { return hash_of(name, 1) % summary_buckets; }

void MemberTable::remove_from_index(Member& member) {
  if (!member.status.in_force()) return;
  const std::uint64_t status = weight(member.name, member.status);
  const std::uint64_t records = weight(member.name, member.status.run, member.records);
  digest_ -= status;
  records_ -= records;
  sums_[bucket(member.name)] -= status + records;
  in_force_.back()->index = member.index;
  std::swap(in_force_[member.index], in_force_.back());
  in_force_.pop_back();
  auto there = by_address_.find(member.address);
  if (there != by_address_.end() && there->second == &member) by_address_.erase(there);
}

void MemberTable::add_to_index(Member& member) {
  if (!member.status.in_force()) return;
  const std::uint64_t status = weight(member.name, member.status);
  const std::uint64_t records = weight(member.name, member.status.run, member.records);
  digest_ += status;
  records_ += records;
  sums_[bucket(member.name)] += status + records;
  member.index = in_force_.size();
  in_force_.push_back(&member);
  by_address_[member.address] = &member;
}

Member* MemberTable::at(const net::Address& address) const {
  auto found = by_address_.find(address);
  return found == by_address_.end() ? nullptr : found->second;
}

std::size_t bytes_of(const RecordMap& records) {
  std::size_t bytes = 0;
  for (const auto& [key, record] : records) bytes += key.size() + record.value.size();
  return bytes;
}

bool merge_records(RecordMap& held, const wire::Shelf& heard, bool& changed) {
  RecordMap next = held;
  for (const wire::Record& record : heard.records()) {
    Record& at = next[record.key()];
    if (record.version() > at.version) at = {record.value(), record.version()};
  }
  if (next.size() > static_cast<std::size_t>(max_records) || bytes_of(next) > max_records_bytes) return false;
  changed = next != held;
  held = std::move(next);
  return true;
}

}  // namespace pearspar::peers

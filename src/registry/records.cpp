#include "registry/records.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "json/json.h"

namespace pearspar::registry {
namespace {

using membership::Entry;
using membership::Phase;

[[noreturn]] void fail(std::string_view name, std::string_view what) {
  throw json::ParseError(fmt::format("{} {}", name, what));
}

std::optional<std::string> text_of(const json::Value& record, const char* name) {
  const json::Value* value = record.find(name);
  if (!value) return std::nullopt;
  auto text = value->text();
  if (!text) fail(name, "is not a text");
  return text;
}

std::optional<double> number_of(const json::Value& record, const char* name) {
  const json::Value* value = record.find(name);
  if (!value) return std::nullopt;
  auto number = value->number();
  if (!number || *number < 0 || !std::isfinite(*number)) fail(name, "is not a number from 0 on");
  return number;
}

const char* word_of(Phase phase) { return phase == Phase::draining ? "draining" : "ready"; }

}  // namespace

Entry read_record(std::string_view id, std::string_view value) {
  json::Value record = json::parse(value);
  if (!record.is(json::Kind::object)) fail("the record", "is no object");
  Entry entry;
  entry.id = id;
  if (auto named = text_of(record, "id"); named && *named != id) fail("id", "is not the key's");
  auto address = text_of(record, "address");
  if (!address) fail("address", "is missing");
  auto parsed = net::Address::parse(*address);
  if (!parsed || parsed->port == 0) fail("address", "is none with a port, like 10.0.0.1:3000");
  entry.address = *parsed;
  entry.zone = text_of(record, "zone").value_or("");
  entry.kind = text_of(record, "kind").value_or("");
  const json::Value* cell = record.find("cell");
  if (!cell) fail("cell", "is missing");
  auto number = cell->integer();
  if (!number || *number < 0 || *number > 65535) fail("cell", "is not from 0 to 65535");
  entry.cell = static_cast<int>(*number);
  std::string phase = text_of(record, "phase").value_or("ready");
  if (phase != "ready" && phase != "draining") fail("phase", "is neither ready nor draining");
  entry.phase = phase == "ready" ? Phase::ready : Phase::draining;
  entry.size = number_of(record, "size").value_or(1);
  entry.up_since_ms = number_of(record, "start_ms").value_or(0);
  return entry;
}

std::string write_record(const Entry& entry) {
  std::string out = "{\"id\":";
  json::append_quoted(out, entry.id);
  out += ",\"address\":";
  json::append_quoted(out, entry.address.text());
  out += ",\"zone\":";
  json::append_quoted(out, entry.zone);
  out += ",\"kind\":";
  json::append_quoted(out, entry.kind);
  out += fmt::format(",\"cell\":{},\"phase\":\"{}\",\"size\":{},\"start_ms\":{:.0f}}}", entry.cell,
                     word_of(entry.phase), entry.size, entry.up_since_ms);
  return out;
}

void Roster::note_bad(const std::string& key, const std::string& why) {
  ++counters_.bad_records;
  auto found = bad_.find(key);
  if (found == bad_.end() && bad_.size() >= most_named) return;
  if (found == bad_.end() || found->second != why) new_bad_.emplace_back(key, why);
  bad_[key] = why;
}

void Roster::read_key(const std::string& key, const View& view, std::map<std::string, Entry>& changed,
                      std::vector<std::string>& gone) {
  if (key.compare(0, prefix_.size(), prefix_) != 0) return;
  std::string id = key.substr(prefix_.size());
  auto item = view.items().find(key);
  if (item == view.items().end()) {
    bad_.erase(key);
    if (listed_.count(id) != 0) gone.push_back(id);
    return;
  }
  // From here on it is there, whatever can be read of it: its removal no longer waits.
  if (held_.erase(id) != 0) ++counters_.returned;
  if (id.empty()) return note_bad(key, "the key ends where an id should follow");
  if (item->second.oversized) return note_bad(key, "the value is longer than is read");
  try {
    Entry entry = read_record(id, item->second.value);
    bad_.erase(key);
    auto told = listed_.find(id);
    if (told == listed_.end() || told->second != entry) changed[id] = std::move(entry);
  } catch (const json::ParseError& error) {
    note_bad(key, error.what());
  }
}

void Roster::forget(net::Time now) {
  while (!removed_.empty() && removed_.front().first + hold_.wait <= now) removed_.pop_front();
}

std::optional<membership::MemberList> Roster::take(net::Time now, View& view) {
  View::News news = view.take_news();
  std::map<std::string, Entry> changed;
  std::vector<std::string> gone;
  if (news.whole) {
    for (const auto& [key, item] : view.items()) read_key(key, view, changed, gone);
    for (const auto& [id, entry] : listed_)
      if (view.items().count(prefix_ + id) == 0) gone.push_back(id);
  } else {
    for (const std::string& key : news.keys) read_key(key, view, changed, gone);
  }

  forget(now);
  if (hold_.above_share > 0 && !gone.empty()) {
    std::erase_if(gone, [&](const std::string& id) { return held_.count(id) != 0; });
    std::size_t lately = 0;
    for (const auto& [when, count] : removed_) lately += count;
    double before = static_cast<double>(listed_.size() - held_.size() + lately);
    if (static_cast<double>(gone.size() + lately + held_.size()) > hold_.above_share * before) {
      for (const std::string& id : gone) held_[id] = now + hold_.wait;
      counters_.held += gone.size();
      gone.clear();
    }
  }
  std::erase_if(held_, [&](const auto& each) {
    if (each.second > now) return false;
    gone.push_back(each.first);
    return true;
  });
  if (!gone.empty() && hold_.above_share > 0) removed_.emplace_back(now, gone.size());

  membership::MemberList list;
  list.revision = view.revision();
  list.complete = news.whole;
  for (const std::string& id : gone) {
    auto entry = listed_.extract(id);
    if (list.complete || entry.empty()) continue;
    entry.mapped().phase = Phase::gone;
    list.entries.push_back(std::move(entry.mapped()));
  }
  for (auto& [id, entry] : changed) {
    listed_[id] = entry;
    if (!list.complete) list.entries.push_back(std::move(entry));
  }
  if (list.complete)
    for (const auto& [id, entry] : listed_) list.entries.push_back(entry);
  if (!list.complete && list.entries.empty()) return std::nullopt;
  return list;
}

net::Time Roster::due() const {
  net::Time first = net::Time::max();
  for (const auto& [id, until] : held_) first = std::min(first, until);
  return first;
}

}  // namespace pearspar::registry

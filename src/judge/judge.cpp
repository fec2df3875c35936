#include "judge/judge.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace pearspar::judge {
namespace {

bool in_force(const std::string& state) { return state != "gone" && state != "left"; }

}  // namespace

double Judge::crash_bound(std::size_t n) const {
  const double size = std::max(1.0, std::log10(static_cast<double>(std::max<std::size_t>(n, 1))));
  const double stretch = n >= 5 ? 4 : 7;  // three others who can accuse beside the first
  return (6 + stretch * terms_.suspicion_periods * size) * terms_.period + terms_.slack;
}

double Judge::settle_bound(std::size_t n) const {
  const double size = std::max(1.0, std::log10(static_cast<double>(std::max<std::size_t>(n, 1))));
  return (20 + 7 * terms_.suspicion_periods * size) * terms_.period + terms_.slack;
}

void Judge::fault(const std::string& text) {
  if (report_.faults.size() < 50) report_.faults.push_back(text);
}

std::size_t Judge::live() const {
  return static_cast<std::size_t>(std::count_if(brokers_.begin(), brokers_.end(), [](const auto& each) {
    return each.second.running && !each.second.stopped;
  }));
}

void Judge::happened(const Happening& happening) {
  end_calm(happening.at);
  Broker unnamed;
  Broker& broker = happening.who.empty() ? unnamed : brokers_[happening.who];
  switch (happening.deed) {
    case Deed::started:
      broker = {};
      broker.running = true;
      broker.since = happening.at;
      broker.run = happening.run;
      starts_.push_back({happening.at, happening.who, {}});
      for (auto at = held_.begin(); at != held_.end();)
        at = at->first.first == happening.who ? held_.erase(at) : std::next(at);
      break;
    case Deed::killed: {
      broker.running = false;
      Crash crash{happening.at, happening.who, broker.run, live(), {}};
      // Those who held it gone already know.
      for (const auto& [key, held] : held_)
        if (key.second == happening.who && !in_force(held.state) && held.run >= broker.run)
          crash.knew[key.first] = happening.at;
      crashes_.push_back(std::move(crash));
      break;
    }
    case Deed::stopped:
      broker.stopped = true;
      break;
    case Deed::resumed:
      broker.stopped = false;
      broker.stopped_until = happening.at;
      break;
    case Deed::told_to_leave:
      broker.leaving = true;
      break;
    case Deed::ended:
      broker.running = false;
      break;
    case Deed::restless:
      break;
    case Deed::troubled:
      troubled_.insert(happening.who);
      break;
    case Deed::calm:
      for (const std::string& who : troubled_) troubled_until_[who] = happening.at + settle_bound(live());
      troubled_.clear();
      calm_ = happening.at;
      agreed_ = agreed();
      agreed_since_ = happening.at;
      gave_up_ = false;
      break;
  }
}

bool Judge::excused(const std::string& who, double at) const {
  for (const std::string& each : {who, std::string()}) {
    if (troubled_.contains(each)) return true;
    auto until = troubled_until_.find(each);
    if (until != troubled_until_.end() && at < until->second) return true;
  }
  return false;
}

void Judge::said(const Opinion& opinion) {
  ++report_.opinions;
  Broker& observer = brokers_[opinion.observer];
  Broker& about = brokers_[opinion.name];
  Held& held = held_[{opinion.observer, opinion.name}];
  const bool was_known = held.run != 0;
  if (about.running && about.run == 0 && opinion.state != "gone") about.run = opinion.run;

  if (in_force(opinion.state)) {
    const std::pair word(opinion.run, opinion.incarnation);
    if (held.left >= opinion.run && held.left != 0)
      fault(fmt::format("{:.3f} s: {} brings back {}, whose run {} had left", opinion.at, opinion.observer,
                        opinion.name, opinion.run));
    else if (word <= held.buried && opinion.state != held.state && !in_force(held.state))
      fault(fmt::format("{:.3f} s: {} brings back {} by an old word ({}, {}), gone at ({}, {})", opinion.at,
                        opinion.observer, opinion.name, word.first, word.second, held.buried.first,
                        held.buried.second));
  }
  if (opinion.state == "gone") {
    held.buried = std::max(held.buried, {opinion.run, opinion.incarnation});
    const bool lives = about.running && !about.stopped && about.run == opinion.run && opinion.run != 0;
    if (lives && was_known && in_force(held.state)) {
      ++report_.removals;
      const double grace = settle_bound(live());
      const bool allowed = excused(opinion.name, opinion.at) || observer.stopped ||
                           (about.stopped_until > 0 && opinion.at < about.stopped_until + grace) ||
                           (observer.stopped_until > 0 && opinion.at < observer.stopped_until + grace);
      if (about.leaving)
        fault(fmt::format("{:.3f} s: {} takes the leave of {} for a crash", opinion.at, opinion.observer,
                          opinion.name));
      else if (!allowed)
        fault(
            fmt::format("{:.3f} s: {} removes {}, which lives", opinion.at, opinion.observer, opinion.name));
    }
  }
  if (opinion.state == "left") {
    held.left = std::max(held.left, opinion.run);
    if (about.running && !about.leaving && about.run == opinion.run)
      fault(fmt::format("{:.3f} s: {} says that {} left, which did not", opinion.at, opinion.observer,
                        opinion.name));
  }
  held.run = opinion.run;
  held.incarnation = opinion.incarnation;
  held.state = opinion.state;
  for (Crash& crash : crashes_)
    if (crash.who == opinion.name && (!in_force(opinion.state) || opinion.run > crash.run))
      crash.knew.emplace(opinion.observer, opinion.at);
  for (Start& start : starts_)
    if (start.who == opinion.name && in_force(opinion.state) && opinion.run == about.run)
      start.knew.emplace(opinion.observer, opinion.at);
}

void Judge::claimed(const Claim& claim) {
  brokers_[claim.observer].claim = claim;
  if (!calm_) return;
  const bool before = agreed_;
  agreed_ = agreed();
  if (agreed_ && !before) agreed_since_ = claim.at;
  if (!agreed_ && before && !gave_up_ && claim.at - *calm_ > settle_bound(live())) {
    gave_up_ = true;
    fault(fmt::format("{:.3f} s: {} gives up the view that all agreed on in the calm since {:.3f} s",
                      claim.at, claim.observer, *calm_));
  }
}

bool Judge::agreed() const {
  const std::string* digest = nullptr;
  for (const auto& [name, broker] : brokers_) {
    if (!broker.running || broker.stopped) continue;
    if (!broker.claim || !broker.claim->settled || broker.claim->in_force != live()) return false;
    if (digest && *digest != broker.claim->digest) return false;
    digest = &broker.claim->digest;
  }
  return true;
}

std::string Judge::views() const {
  std::string views;
  for (const auto& [name, broker] : brokers_)
    if (broker.running && !broker.stopped)
      views += fmt::format(" {}={}/{}{}", name, broker.claim ? broker.claim->digest : "none",
                           broker.claim ? broker.claim->in_force : 0,
                           broker.claim && broker.claim->settled ? "" : "?");
  if (views.size() > 800) views.resize(800);
  return views;
}

void Judge::end_calm(double at) {
  if (!calm_) return;
  const double began = *calm_;
  calm_.reset();
  const double took = (agreed_ ? agreed_since_ : at) - began;
  const double bound = settle_bound(live());
  if (agreed_) report_.settled.push_back(took);
  if (took > bound)
    fault(fmt::format("{} {:.3f} s after the calm of {:.3f} s, {:.3f} s allowed; {} live:{}",
                      agreed_ ? "settled only" : "not settled", took, began, bound, live(), views()));
}

Report Judge::end(double at) {
  end_calm(at);
  for (const Crash& crash : crashes_) {
    const double by = crash.at + crash_bound(crash.live);
    double last = 0;
    bool whole = true;
    for (const auto& [name, broker] : brokers_) {
      if (!broker.running || broker.stopped || broker.since >= crash.at || name == crash.who) continue;
      if (broker.stopped_until >= crash.at) continue;  // it was not there to see it
      auto knew = crash.knew.find(name);
      if (knew != crash.knew.end()) {
        last = std::max(last, knew->second);
      } else if (at > by && held_.contains({name, crash.who})) {
        whole = false;
        fault(fmt::format("{} does not know at {:.3f} s that {} crashed at {:.3f} s", name, at, crash.who,
                          crash.at));
      } else {
        whole = false;
      }
      if (knew != crash.knew.end() && knew->second > by && !excused(crash.who, crash.at))
        fault(fmt::format("{} learns of the crash of {} after {:.3f} s, {:.3f} s allowed", name, crash.who,
                          knew->second - crash.at, by - crash.at));
    }
    if (whole && last > 0) report_.detected.push_back(std::max(0.0, last - crash.at));
  }
  for (const Start& start : starts_) {
    double last = 0;
    bool whole = start.at > 0;
    for (const auto& [name, broker] : brokers_) {
      if (!broker.running || broker.since >= start.at || name == start.who) continue;
      auto knew = start.knew.find(name);
      whole = whole && knew != start.knew.end();
      if (whole) last = std::max(last, knew->second);
    }
    if (whole && last > 0) report_.joined.push_back(last - start.at);
  }
  return report_;
}

}  // namespace pearspar::judge

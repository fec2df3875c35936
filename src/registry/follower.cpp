#include "registry/follower.h"

#include <algorithm>

namespace pearspar::registry {
namespace {

constexpr net::Time never = net::Time::max();
// Changes of one revision that came in fragments, beyond which they are read anew instead.
constexpr std::size_t most_fragment_bytes = std::size_t{4} << 20;

}  // namespace

// ---- what both share ----

void Follower::stop() {
  running_ = false;
  view_.abandon_snapshot();
  view_.lose();
}

std::uint64_t Follower::ask(Ask::Kind kind, Revision revision, std::string after, int limit, bool with_item) {
  ++counters_.asks;
  Ask each;
  each.kind = kind;
  each.ticket = ++last_ticket_;
  each.endpoint = endpoint_;
  each.revision = revision;
  each.after = std::move(after);
  each.limit = limit;
  each.with_item = with_item;
  if (kind == Ask::Kind::poll && revision > 0) each.wait = options_.poll_wait;
  commands_.emplace_back(std::move(each));
  return last_ticket_;
}

void Follower::drop(std::uint64_t& ticket) {
  if (ticket != 0) commands_.emplace_back(Drop{ticket});
  ticket = 0;
}

bool Follower::check(net::Time now, const Header& header) {
  if (!known_) return true;
  bool other =
      header.cluster != known_->cluster || header.revision < view_.revision() || header.term < known_->term;
  if (!other) {
    endpoints_.vouched();
    known_->term = header.term;
    known_->member = header.member;
    return true;
  }
  ++counters_.doubts;
  endpoints_.doubted(now, endpoint_, header.cluster);
  return false;
}

bool Follower::believed(net::Time now, const Header& header) {
  if (!endpoints_.believe(now, header.cluster)) return false;
  ++counters_.new_histories;
  known_.reset();
  endpoints_.vouched();
  endpoints_.worked(endpoint_);
  return true;
}

void Follower::adopt(const Header& header) { known_ = header; }

// ---- watches ----

void WatchFollower::start(net::Time now) {
  if (running_) return;
  running_ = true;
  next(now);
}

void WatchFollower::refresh(net::Time now) {
  need_snapshot_ = whole_ = true;
  if (!running_) return start(now);
  drop(main_);
  drop(look_);
  next(now);
}

net::Time WatchFollower::due() const {
  if (!running_) return never;
  bool timed = step_ == Step::resting || step_ == Step::reading || step_ == Step::opening;
  net::Time first = timed ? until_ : never;
  if (look_ != 0) first = std::min(first, look_until_);
  if (step_ == Step::watching) {
    if (look_ == 0) first = std::min(first, next_look_);
    if (owed_until_) first = std::min(first, *owed_until_);
    if (options_.audit_every > net::Duration{}) first = std::min(first, next_audit_);
  }
  return first;
}

// Goes on from wherever things stand, at the endpoint that is best now.
void WatchFollower::next(net::Time now) {
  endpoint_ = endpoints_.choose();
  view_.lose();
  if (need_snapshot_ || !view_.stands()) return read(now);
  verify(now, 0);
}

// A watch resumed in another history than ours would tell its changes on top of our contents. Its header need
// not show that: a registry restored from a backup under its old identity may have come past our revision by
// now. So before a watch is resumed the registry has to know what we have: as many keys, and the newest of
// them to the letter.
void WatchFollower::verify(net::Time now, Revision pin) {
  step_ = Step::verifying;
  verify_at_ = pin;
  look_ = ask(Ask::Kind::look, pin, {}, 0, true);
  look_until_ = now + options_.reply_timeout;
}

bool WatchFollower::agrees(const Standing& standing) const {
  if (standing.count != static_cast<std::int64_t>(view_.items().size()) || standing.newest != view_.newest())
    return false;
  if (!standing.item) return standing.count == 0;
  auto held = view_.items().find(standing.item->key);
  return held != view_.items().end() && held->second == standing.item->item;
}

void WatchFollower::verified(net::Time now, const Standing& standing) {
  if (agrees(standing)) return open_watch(now);
  // It has changed since, as it may: what counts is how it stood at our revision.
  if (verify_at_ == 0 && standing.header.revision > view_.revision()) return verify(now, view_.revision());
  ++counters_.diverged;
  whole_ = true;
  read_anew(now);
}

void WatchFollower::read(net::Time now) {
  step_ = Step::reading;
  pinned_ = 0;
  view_.abandon_snapshot();
  main_ = ask(Ask::Kind::page, 0, {}, page_);
  until_ = now + options_.reply_timeout;
}

void WatchFollower::open_watch(net::Time now) {
  step_ = Step::opening;
  fragments_.clear();
  fragment_bytes_ = 0;
  owed_until_.reset();
  main_ = ask(Ask::Kind::watch, view_.revision() + 1);
  until_ = now + options_.reply_timeout;
}

void WatchFollower::rest(net::Time now) {
  drop(main_);
  drop(look_);
  view_.abandon_snapshot();
  view_.lose();
  step_ = Step::resting;
  until_ = now + endpoints_.pause();
}

void WatchFollower::leave(net::Time now, Fault fault) {
  ++counters_.failures[static_cast<int>(fault)];
  endpoints_.failed(endpoint_);
  rest(now);
}

// The registry is there and has something else than we thought: that is read at once, unless it has happened
// just now.
void WatchFollower::read_anew(net::Time now) {
  need_snapshot_ = true;
  if (now < last_anew_ + options_.settle) return rest(now);
  last_anew_ = now;
  drop(main_);
  drop(look_);
  view_.lose();
  read(now);
}

void WatchFollower::doubt(net::Time now, const Header& header) {
  if (believed(now, header)) {
    whole_ = true;
    return read_anew(now);
  }
  rest(now);
}

void WatchFollower::tick(net::Time now) {
  if (!running_) return;
  if (look_ != 0 && now >= look_until_) return leave(now, Fault::timeout);
  switch (step_) {
    case Step::idle:
    case Step::verifying:  // the look's own time counts
      return;
    case Step::resting:
      if (now >= until_) next(now);
      return;
    case Step::reading:
    case Step::opening:
      if (now >= until_) leave(now, Fault::timeout);
      return;
    case Step::watching:
      break;
  }
  if (owed_until_ && now >= *owed_until_) {
    owed_until_.reset();
    if (view_.revision() == owed_at_) {
      ++counters_.silent;
      return leave(now, Fault::timeout);
    }
  }
  if (options_.audit_every > net::Duration{} && now >= next_audit_) {
    ++counters_.audits;
    drop(main_);
    drop(look_);
    view_.lose();
    return read(now);
  }
  if (look_ == 0 && now >= next_look_) {
    look_ = ask(Ask::Kind::look);
    look_until_ = now + options_.reply_timeout;
  }
}

void WatchFollower::page_in(net::Time now, std::uint64_t ticket, const Page& page) {
  if (ticket != main_ || step_ != Step::reading) return;
  main_ = 0;
  if (pinned_ == 0) {
    if (!check(now, page.header)) {
      if (!believed(now, page.header)) return rest(now);
      whole_ = true;
    }
    pinned_ = page.header.revision;
    view_.begin_snapshot(pinned_);
    adopt(page.header);
  } else if (page.header.cluster != known_->cluster) {
    return leave(now, Fault::malformed);
  }
  Verdict verdict = view_.add_page(pinned_, page.items);
  if (verdict == Verdict::too_large || page.count > static_cast<std::int64_t>(options_.view.keys)) {
    ++counters_.too_large;
    return leave(now, Fault::too_large);
  }
  if (verdict != Verdict::applied || (page.more && page.items.empty())) return leave(now, Fault::malformed);
  if (page.more) {
    main_ = ask(Ask::Kind::page, pinned_, page.items.back().key, page_);
    until_ = now + options_.reply_timeout;
    return;
  }
  view_.finish_snapshot(whole_);
  ++counters_.snapshots;
  need_snapshot_ = whole_ = false;
  // Not all brokers at the same moment.
  next_audit_ = now + options_.audit_every * endpoints_.spread();
  page_ = options_.page;
  endpoints_.worked(endpoint_);
  open_watch(now);
}

void WatchFollower::watch_made(net::Time now, std::uint64_t ticket, const Header& header) {
  if (ticket != main_ || step_ != Step::opening) return;
  // A member that lags may show an older revision or term here, but never another cluster.
  if (known_ && header.cluster != known_->cluster) {
    check(now, header);
    return doubt(now, header);
  }
  step_ = Step::watching;
  watching_since_ = now;
  view_.follow();
  // The first look tells at once whether this member knows our history.
  next_look_ = now;
  tick(now);
}

void WatchFollower::told(net::Time now, std::uint64_t ticket, Events events) {
  if (ticket != main_ || step_ != Step::watching) return;
  if (known_ && events.header.cluster != 0 && events.header.cluster != known_->cluster) {
    check(now, events.header);
    return doubt(now, events.header);
  }
  bool mark = events.changes.empty() && fragments_.empty() && !events.fragment;
  if (mark) {
    view_.progress(events.header.revision);
    return;
  }
  for (const Change& change : events.changes)
    fragment_bytes_ += change.key.size() + (change.item ? change.item->value.size() : 0) + sizeof(Change);
  if (events.fragment && fragment_bytes_ > most_fragment_bytes) {
    ++counters_.too_large;
    return read_anew(now);
  }
  if (!events.fragment && fragments_.empty()) {
    fragments_ = std::move(events.changes);
  } else {
    std::move(events.changes.begin(), events.changes.end(), std::back_inserter(fragments_));
  }
  if (events.fragment) return;
  std::vector<Change> changes = std::exchange(fragments_, {});
  fragment_bytes_ = 0;
  switch (view_.apply(changes)) {
    case Verdict::applied:
      counters_.events += changes.size();
      return;
    case Verdict::repeated:
      ++counters_.repeated;
      return;
    case Verdict::nothing:
      return;
    case Verdict::too_large:
      ++counters_.too_large;
      return read_anew(now);
    default:
      ++counters_.holes;
      return read_anew(now);
  }
}

// The look is a read that the leader vouches for. With the number of keys and the newest change it shows all
// that a view can have missed: a put shows as newer, a deletion in the number, and both together as newer.
void WatchFollower::look_in(net::Time now, std::uint64_t ticket, const Standing& standing) {
  if (ticket != look_) return;
  look_ = 0;
  next_look_ = now + options_.look_every;
  if (!check(now, standing.header)) return doubt(now, standing.header);
  endpoints_.worked(endpoint_);
  if (step_ == Step::verifying) return verified(now, standing);
  if (step_ != Step::watching) return;
  if (now >= watching_since_ + options_.settle) endpoints_.settled();
  // The watch is ahead of the look, or has all that it showed.
  if (view_.revision() > standing.header.revision) return owed_until_.reset();
  bool equal = standing.count == static_cast<std::int64_t>(view_.items().size()) &&
               standing.newest <= view_.revision();
  if (equal) {
    owed_until_.reset();
    // Nothing between is still to come, so a resumption need not reach back before it.
    if (fragments_.empty()) view_.progress(standing.header.revision);
    return;
  }
  if (owed_until_ && owed_at_ == view_.revision()) return;
  owed_until_ = now + options_.watch_patience;
  owed_at_ = view_.revision();
}

void WatchFollower::failed(net::Time now, std::uint64_t ticket, Fault fault) {
  if (ticket == 0 || (ticket != main_ && ticket != look_)) return;
  bool main = ticket == main_;
  (main ? main_ : look_) = 0;
  if (fault == Fault::compacted) {
    // No fault of the endpoint's: what we asked for is no longer kept.
    ++counters_.failures[static_cast<int>(fault)];
    return read_anew(now);
  }
  if (main && fault == Fault::too_large) {
    if (step_ == Step::reading) page_ = std::max(page_ / 2, 1);
    need_snapshot_ = true;
  }
  leave(now, fault);
}

// ---- blocking reads ----

void PollFollower::start(net::Time now) {
  if (running_) return;
  running_ = true;
  since_ = now;
  endpoint_ = endpoints_.choose();
  poll(now);
}

void PollFollower::refresh(net::Time now) {
  whole_ = true;
  index_ = 0;
  if (!running_) return start(now);
  drop(main_);
  poll(now);
}

net::Time PollFollower::due() const { return running_ ? until_ : never; }

void PollFollower::poll(net::Time now) {
  asked_ = now;
  main_ = ask(Ask::Kind::poll, index_);
  // A registry may hold a read for a sixteenth longer than it was asked to.
  net::Duration held = index_ > 0 ? options_.poll_wait * 17 / 16 : net::Duration{};
  until_ = now + held + options_.reply_timeout;
}

void PollFollower::rest(net::Time now) {
  drop(main_);
  view_.abandon_snapshot();
  view_.lose();
  index_ = 0;  // whoever is asked next answers at once
  until_ = now + endpoints_.pause();
}

void PollFollower::tick(net::Time now) {
  if (!running_ || now < until_) return;
  if (main_ != 0) return leave(now, Fault::timeout);
  // A pause within a row of good answers changes nothing; one after a failure means another endpoint.
  if (!live()) {
    endpoint_ = endpoints_.choose();
    since_ = now;
  }
  poll(now);
}

void PollFollower::page_in(net::Time now, std::uint64_t ticket, const Page& page) {
  if (ticket != main_) return;
  main_ = 0;
  Revision index = page.header.revision;
  // An index of 0 or less could never be waited on: the published way is to begin anew.
  if (index <= 0) return leave(now, Fault::malformed);
  if (!check(now, page.header)) {
    if (!believed(now, page.header)) return rest(now);
    whole_ = true;
  }
  adopt(page.header);
  bool news = whole_ || view_.state() != ViewState::following || index != view_.revision();
  if (news) {
    view_.begin_snapshot(index);
    Verdict verdict = view_.add_page(index, page.items);
    if (verdict != Verdict::applied) {
      bool large = verdict == Verdict::too_large;
      if (large) ++counters_.too_large;
      return leave(now, large ? Fault::too_large : Fault::malformed);
    }
    view_.finish_snapshot(whole_);
    whole_ = false;
    ++counters_.snapshots;
    view_.follow();
  }
  endpoints_.worked(endpoint_);
  if (now >= since_ + options_.settle) endpoints_.settled();
  bool held = index_ > 0;
  index_ = index;
  // One that answers at once with nothing new, again and again, must not keep us busy.
  bool busy = held && !news && now < asked_ + options_.pacing.first;
  if (!busy) return poll(now);
  until_ = asked_ + options_.pacing.first;
}

void PollFollower::failed(net::Time now, std::uint64_t ticket, Fault fault) {
  if (ticket == 0 || ticket != main_) return;
  main_ = 0;
  leave(now, fault);
}

void PollFollower::leave(net::Time now, Fault fault) {
  ++counters_.failures[static_cast<int>(fault)];
  endpoints_.failed(endpoint_);
  rest(now);
}

}  // namespace pearspar::registry

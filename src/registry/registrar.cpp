#include "registry/registrar.h"

#include <algorithm>

namespace pearspar::registry {
namespace {

constexpr int renewals_a_lease = 3;  // two may fail before it runs out

}  // namespace

void Registrar::start(net::Time now) {
  if (state_ != State::off) return;
  endpoint_ = endpoints_.choose();
  ask(now, Command::Kind::grant, State::granting);
}

void Registrar::withdraw(net::Time now, net::Duration patience) {
  if (state_ == State::off || state_ == State::withdrawing) return;
  if (lease_.empty()) {
    state_ = State::off;
    due_ = net::Time::max();
    return;
  }
  give_up_ = now + patience;
  ask(now, Command::Kind::revoke, State::withdrawing);
}

void Registrar::value_changed(net::Time now) {
  put_again_ = true;
  if (state_ == State::kept) next(now);
}

void Registrar::ask(net::Time now, Command::Kind kind, State state) {
  state_ = state;
  waiting_ = true;
  asked_ = now;
  due_ = now + reply_timeout_;
  commands_.push_back({kind, endpoint_, lease_});
}

// What the state asks for, now that its time has come.
void Registrar::next(net::Time now) {
  if (state_ != State::granting && state_ != State::withdrawing && now >= good_until_) return lose(now);
  switch (state_) {
    case State::off:
      return;
    case State::granting:
      return ask(now, Command::Kind::grant, State::granting);
    case State::putting:
      return ask(now, Command::Kind::put, State::putting);
    case State::kept:
      if (std::exchange(put_again_, false)) return ask(now, Command::Kind::put, State::putting);
      return ask(now, Command::Kind::renew, State::renewing);
    case State::renewing:
      return ask(now, Command::Kind::renew, State::renewing);
    case State::checking:
      return ask(now, Command::Kind::check, State::checking);
    case State::withdrawing:
      return ask(now, Command::Kind::revoke, State::withdrawing);
  }
}

void Registrar::tick(net::Time now) {
  if (now < due_) return;
  if (waiting_) return failed(now);
  if (state_ == State::withdrawing && now >= give_up_) {
    state_ = State::off;
    due_ = net::Time::max();
    return;
  }
  next(now);
}

void Registrar::rest(net::Time now) {
  waiting_ = false;
  due_ = now + endpoints_.pause();
  // A lease that stands must be renewed before it runs out, however long the pause.
  if (state_ == State::withdrawing) due_ = std::min(due_, give_up_);
}

void Registrar::lose(net::Time now) {
  ++counters_.lost;
  lease_.clear();
  state_ = State::granting;
  waiting_ = false;
  next(now);
}

void Registrar::granted(net::Time now, std::string lease) {
  if (state_ != State::granting || !waiting_) return;
  ++counters_.grants;
  endpoints_.worked(endpoint_);
  lease_ = std::move(lease);
  good_until_ = asked_ + lease_time_;
  put_again_ = false;
  ask(now, Command::Kind::put, State::putting);
}

void Registrar::put_done(net::Time now, bool ours) {
  if (state_ != State::putting || !waiting_) return;
  waiting_ = false;
  endpoints_.worked(endpoint_);
  if (!ours) return rest(now);  // our own last life's, as a rule: its lease runs out
  ++counters_.puts;
  endpoints_.settled();
  state_ = State::kept;
  due_ = put_again_ ? now : now + lease_time_ / renewals_a_lease;
}

void Registrar::renewed(net::Time now, bool known) {
  if (state_ != State::renewing || !waiting_) return;
  waiting_ = false;
  endpoints_.worked(endpoint_);
  if (!known) return lose(now);
  ++counters_.renewals;
  endpoints_.settled();
  good_until_ = asked_ + lease_time_;
  ask(now, Command::Kind::check, State::checking);
}

void Registrar::checked(net::Time now, bool stands) {
  if (state_ != State::checking || !waiting_) return;
  waiting_ = false;
  if (!stands) {
    ++counters_.lost;
    return ask(now, Command::Kind::put, State::putting);
  }
  state_ = State::kept;
  due_ = put_again_ ? now : now + lease_time_ / renewals_a_lease;
}

void Registrar::revoked(net::Time) {
  if (state_ != State::withdrawing) return;
  waiting_ = false;
  lease_.clear();
  state_ = State::off;
  due_ = net::Time::max();
}

void Registrar::failed(net::Time now) {
  if (!waiting_) return;
  ++counters_.failures;
  endpoints_.failed(endpoint_);
  endpoint_ = endpoints_.choose();
  rest(now);
}

}  // namespace pearspar::registry

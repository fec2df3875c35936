#include "discovery/registry.h"

#include <utility>

namespace pearspar::discovery {

void Registry::start() {
  started_ = true;
  current_->start();
  if (coming_) coming_->start();
}

void Registry::stop() {
  started_ = false;
  current_->stop();
  if (coming_) coming_->stop();
}

void Registry::fetch() {
  started_ = true;
  (coming_ ? *coming_ : *current_).fetch();
}

void Registry::move(const net::Address& address) {
  if (address == address_) return;
  log_.info("discovery moves from {} to {}", address_.text(), address.text());
  address_ = address;
  if (coming_) past_ += coming_->counters();
  coming_ = make_client();
  // The connection that stands goes on telling while it stands, but no other is made there.
  current_->make_last();
  if (started_) coming_->start();
}

// The place that was moved to has told its first list exactly when it has a version: it takes over at once,
// so that whatever the former place may yet say, perhaps older, no longer counts.
void Registry::members_told(const MemberList& list) {
  if (coming_ && coming_->revision() >= 0) {
    past_ += current_->counters();
    current_ = std::move(coming_);
    log_.info("discovery at {} has told its list, version {}", address_.text(), list.revision);
  }
  user_.members_told(list);
}

DiscoveryCounters Registry::counters() const {
  DiscoveryCounters sum = past_;
  sum += current_->counters();
  if (coming_) sum += coming_->counters();
  return sum;
}

}  // namespace pearspar::discovery

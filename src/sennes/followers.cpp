#include "sennes/followers.h"

#include <algorithm>
#include <cmath>

#include "protocol/delta.h"

namespace pearspar::sennes {
namespace {

using namespace std::chrono_literals;

constexpr Duration ping_every = 1s;
// So long a change waits for others: many nodes that start at once are one piece of news to each edge.
constexpr Duration gather_news = 10ms;
constexpr Duration lease = 2500ms;  // two pings and a half without an answer end it
// Of lists that were told whole and are not acknowledged: who follows is told in turn, so that neither memory
// nor one turn's work grows with the number of followers. One is always told.
constexpr std::size_t most_on_their_way = 4 << 20;
// Of nodes that are gone, told to those that have a list: what went in the last seconds before the term.
constexpr std::size_t last_ended = 64;
constexpr std::size_t most_tail =
    2 << 20;  // of changes' texts in one frame; who lacks more is told what stands
constexpr Duration packed_for = 250ms;
constexpr std::size_t neighbours_at_once = 256;  // edges whose neighbours are looked at with one ping
constexpr Duration on_its_way = 2s;  // at the most: by then it is acknowledged, or its link has ended

}  // namespace

std::uint32_t cold_ms(Time now, const catalog::Node& node) {
  return static_cast<std::uint32_t>(std::max(0.0, Duration(node.cold_until - now).count() * 1000));
}

bool Followers::lives(Time now, const Follower& follower) { return now - follower.heard < lease; }

void Followers::open(Time now, raft::Term term, bool complete) {
  open_ = true;
  complete_ = complete;
  term_ = term;
  first_ = 1;
  configured_ = {};
  news_due_ = Time::max();
  journal_.clear();
  journal_bytes_ = 0;
  digests_.clear();
  packed_.clear();
  for (auto& [link, follower] : followers_) {
    follower.knows = follower.unproved = false, follower.telling = 0, follower.told = {};
    follower.neighbours_version = 0, follower.neighbours.clear();
  }
  ping_due_ = now;
  all_told_ = false;
}

protocol::Position Followers::add(Time now, protocol::Change change) {
  if (news_due_ == Time::max()) news_due_ = now + gather_news;
  journal_bytes_ += change.text.size();
  journal_.push_back(std::move(change));
  view_.apply_own(now, end(), journal_.back());
  digests_.push_back(view_.nodes().digest());
  // Whoever is behind its front is told what stands instead.
  while (journal_.size() > most_journal || (journal_bytes_ > most_journal_bytes && journal_.size() > 1)) {
    journal_bytes_ -= journal_.front().text.size();
    journal_.pop_front();
    digests_.pop_front();
    ++first_;
  }
  return end();
}

void Followers::add_configuration(Time now, const catalog::ConfigurationPtr& configuration) {
  protocol::Change change;
  change.kind = protocol::ChangeKind::configuration;
  change.revision = configuration->revision;
  change.text = configuration->text;
  if (const auto& before = view_.configuration()) {
    std::string delta = protocol::make_delta(before->text, configuration->text);
    if (delta.size() < change.text.size()) {
      change.kind = protocol::ChangeKind::configuration_delta;
      change.text = std::move(delta);
    }
  }
  configured_ = add(now, std::move(change));
  packed_.clear();
}

void Followers::complete(Time now) {
  if (complete_) return;
  complete_ = true;
  protocol::Change change;
  change.kind = protocol::ChangeKind::list_complete;
  whole_ = add(now, std::move(change));
  packed_.clear();
  all_told_ = false;
  // Edges have followed all along, and what they list proves it; a member also learns what is gone for good.
  for (auto& [link, follower] : followers_) {
    follower.unproved = follower.knows && follower.kind == protocol::FollowerKind::edge;
    follower.knows = follower.unproved;
  }
}

void Followers::on_hello(Time now, LinkId link, const protocol::Hello& hello) {
  // A process has one link to us: an older one of the same incarnation is stale.
  std::erase_if(followers_, [&](const auto& other) {
    return other.first != link && other.second.incarnation == hello.incarnation;
  });
  Follower& follower = followers_[link];
  // Said before what is on its way has come: it is not sent twice.
  if (open_ && follower.incarnation == hello.incarnation && follower.telling > 0 &&
      now - follower.told_at < on_its_way && hello.position < follower.told) {
    follower.heard = now;
    return;
  }
  follower.incarnation = hello.incarnation;
  follower.kind = hello.kind;
  follower.name = hello.name;
  follower.zone = hello.zone;
  if (hello.kind == protocol::FollowerKind::edge) follower.address = hello.address;
  neighbours_.came(link, follower.address, follower.zone);
  follower.revision = hello.revision;
  follower.heard = now;
  follower.sent = follower.acked = hello.position;
  follower.again = {};
  follower.knows = open_ && complete_ && hello.position.term == term_ &&
                   hello.position.number + 1 >= first_ && hello.position <= end() &&
                   (hello.position < configured_ || hello.revision >= view_.revision());
  if (!follower.knows) all_told_ = false;
  follower.unproved = follower.knows && hello.kind == protocol::FollowerKind::edge;
  if (follower.knows && follower.sent < end()) news_due_ = std::min(news_due_, now);
}

void Followers::on_ack(Time now, LinkId link, const protocol::Ack& ack) {
  neighbours_.forget(now);
  auto found = followers_.find(link);
  if (found == followers_.end() || found->second.incarnation != ack.incarnation) return;
  found->second.heard = now;
  found->second.acked = std::max(found->second.acked, ack.at);
  found->second.revision = ack.revision;
  found->second.coverage = ack.coverage;
  if (ack.at >= found->second.told) found->second.telling = 0;
  if (found->second.unproved && open_ && ack.at.term == term_ && ack.at >= whole_ && ack.at <= end()) {
    found->second.unproved = false;
    if (ack.at.number < first_ || ack.node_list_digest != digests_[ack.at.number - first_])
      found->second.knows = false;
  }
  // It has passed over a change that it could not read or fit to what it has. A delta is followed by the
  // whole at once; who cannot read that either (another revision of the program) is told again with the
  // pings.
  if (open_ && configured_ != protocol::Position{} && ack.at >= configured_ && ack.at.term == term_ &&
      ack.revision < view_.revision()) {
    found->second.knows = false;
    if (found->second.whole) found->second.again = found->second.told_at + ping_every;
  }
  if (!found->second.knows) all_told_ = false;
}

void Followers::on_closed(LinkId link) {
  auto found = followers_.find(link);
  if (found == followers_.end()) return;
  neighbours_.went(link, found->second.address);
  followers_.erase(found);
}

// A few at a time, and only who has to know others than it was told.
void Followers::tell_neighbours(Time now, std::vector<ToLink>& out) {
  neighbours_.forget(now);
  std::size_t left = neighbours_at_once;
  for (auto& [link, follower] : followers_) {
    if (follower.address.empty() || !follower.knows || follower.neighbours_version == neighbours_.version())
      continue;
    if (left-- == 0) return;
    follower.neighbours_version = neighbours_.version();
    auto edges = neighbours_.known_to(follower.address, follower.zone);
    if (edges == follower.neighbours) continue;
    follower.neighbours = edges;
    out.push_back({link, protocol::pack(protocol::Neighbours{std::move(edges)})});
  }
}

void Followers::list(Time now, protocol::StateSnapshot& standing) const {
  for (const auto& [id, node] : view_.nodes().all()) standing.nodes.push_back({node, cold_ms(now, node)});
  standing.retired.assign(view_.nodes().retired().begin(), view_.nodes().retired().end());
}

std::string Followers::provisional(Time now, const catalog::ConfigurationPtr& configuration) const {
  protocol::StateSnapshot standing;
  standing.complete = false;
  standing.edges = view_.edge_count();
  standing.revision = configuration->revision;
  standing.configuration = configuration->text;
  list(now, standing);
  return protocol::pack(std::move(standing));
}

// While the list is being gathered, who has one from before is told what is on its way out: the rest stays as
// it was with them in any case.
std::string Followers::standing(Time now, catalog::Revision known, bool has_list) const {
  protocol::StateSnapshot standing;
  standing.at = end();
  standing.complete = complete_;
  standing.edges = edges(now);
  standing.coverage = coverage(now);
  standing.revision = view_.revision();
  if (view_.revision() > known) standing.configuration = view_.configuration()->text;
  list(now, standing);
  if (has_list) {
    std::erase_if(standing.nodes, [](const protocol::NodeUpdate& news) { return !news.node.closing; });
    std::size_t old = standing.retired.size() - std::min(standing.retired.size(), last_ended);
    standing.retired.erase(standing.retired.begin(),
                           standing.retired.begin() + static_cast<std::ptrdiff_t>(old));
  }
  return protocol::pack(std::move(standing));
}

const Followers::Packed& Followers::packed(Time now, const Follower& follower, bool has_list) {
  catalog::Revision known = follower.revision;
  // Without the newest configuration it would not help whoever could not use the delta.
  std::erase_if(packed_, [&](const auto& each) {
    const Packed& packed = each.second;
    return now - packed.when > packed_for || packed.at.number + 1 < first_ || packed.at < configured_;
  });
  Packed& packed = packed_[{std::min(known, view_.revision()), has_list}];
  if (packed.bytes.empty() || (follower.sent.term == term_ && packed.at < follower.sent))
    packed = {standing(now, known, has_list), end(), now};
  return packed;
}

std::size_t Followers::on_their_way(Time now) const {
  std::size_t bytes = 0;
  for (const auto& [link, follower] : followers_)
    if (now - follower.told_at < on_its_way) bytes += follower.telling;
  return bytes;
}

std::vector<ToLink> Followers::take_out(Time now) {
  std::vector<ToLink> out;
  if (!open_) return out;
  bool ping = now >= ping_due_;
  if (ping) ping_due_ = now + ping_every;
  bool news = now >= news_due_;
  if (news) news_due_ = Time::max();
  if (!ping && !news && all_told_) return out;
  all_told_ = true;
  // One packing serves all that lack the same.
  std::map<std::uint64_t, std::string> tails;
  std::string ping_bytes;
  std::size_t on_their_way = this->on_their_way(now);
  for (auto& [link, follower] : followers_) {
    if (!follower.knows) {
      if (now < follower.again) {
        all_told_ = false;
        continue;
      }
      if (on_their_way >= most_on_their_way) {
        all_told_ = false;
        continue;
      }
      bool has_list = !complete_ && follower.kind == protocol::FollowerKind::edge && follower.acked.term > 0;
      const Packed& packed = this->packed(now, follower, has_list);
      out.push_back({link, packed.bytes});
      on_their_way += packed.bytes.size();
      follower.knows = follower.whole = true;
      follower.unproved = false;
      follower.sent = follower.told = packed.at;
      if (packed.at < end()) news_due_ = std::min(news_due_, now);
      follower.telling = packed.bytes.size();
      follower.told_at = now;
    } else if (follower.sent < end()) {
      if (!news) continue;
      // The journal begins behind it, or a frame does not hold what it lacks.
      if (follower.sent.number + 1 < first_ || tail_bytes(follower.sent) > most_tail) {
        follower.knows = all_told_ = false;
        news_due_ = now;
        continue;
      }
      std::string& bytes = tails[follower.sent.number];
      if (bytes.empty()) {
        protocol::Changes changes;
        changes.after = follower.sent;
        changes.changes.assign(
            journal_.begin() + static_cast<std::ptrdiff_t>(follower.sent.number + 1 - first_),
            journal_.end());
        bytes = protocol::pack(std::move(changes));
      }
      out.push_back({link, bytes});
      follower.whole = false;
      follower.sent = end();
    } else if (ping) {
      if (ping_bytes.empty()) ping_bytes = protocol::pack(protocol::Ping{end(), edges(now), coverage(now)});
      out.push_back({link, ping_bytes});
    }
  }
  if (ping) tell_neighbours(now, out);
  return out;
}

std::size_t Followers::tail_bytes(protocol::Position after) const {
  if (journal_bytes_ <= most_tail) return journal_bytes_;
  std::size_t bytes = 0;
  for (std::size_t i = after.number + 1 - first_; i < journal_.size(); ++i) bytes += journal_[i].text.size();
  return bytes;
}

bool Followers::acknowledged(Time now, protocol::Position at) const {
  return std::all_of(followers_.begin(), followers_.end(), [&](const auto& follower) {
    return !lives(now, follower.second) || follower.second.acked >= at;
  });
}

std::uint32_t Followers::edges(Time now) const {
  return static_cast<std::uint32_t>(
      std::count_if(followers_.begin(), followers_.end(), [&](const auto& follower) {
        return follower.second.kind == protocol::FollowerKind::edge && lives(now, follower.second);
      }));
}

std::uint32_t Followers::coverage(Time now) const {
  double sum = 0, count = 0;
  for (const auto& [link, follower] : followers_)
    if (follower.kind == protocol::FollowerKind::edge && follower.coverage > 0 && lives(now, follower))
      sum += follower.coverage, ++count;
  return count > 0 ? static_cast<std::uint32_t>(std::lround(sum / count)) : 100;
}

}  // namespace pearspar::sennes

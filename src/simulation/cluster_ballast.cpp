// Large states in the rig: what members find on their disks, what it costs to move, and who holds it all.
#include "protocol/quota_codec.h"
#include "simulation/cluster_parts.h"

namespace pearspar::simulation {
namespace {

constexpr std::size_t holder_bytes = 180;
constexpr std::size_t claim_bytes = holder_bytes + 20;  // folded

// A state as its own entries make it: one configuration, then reports of an edge on retrievals of so many
// keys.
std::string folded(const std::string& text, std::size_t bytes) {
  control_plane::ReplicatedState state;
  raft::Entry entry;
  entry.kind = raft::EntryKind::change;
  entry.data = control_plane::ReplicatedState::encode_change(0, 1, control_plane::digest_of(text), text);
  state.apply(entry);
  quota::QuotaRequest ask;
  ask.session = 1;
  ask.number = 1;
  ask.window = 1;
  quota::SettledDraws settled;
  settled.account_key = {std::string(holder_bytes, 'h'), "pull"};
  settled.window = 1;
  for (std::size_t key = 1; key <= bytes / claim_bytes; ++key) settled.keys.push_back(key << 20);
  ask.settled.push_back(std::move(settled));
  entry.data = control_plane::ReplicatedState::encode_quota_commands(
      protocol::pack_quota_commands({protocol::AdvanceWindow{1}, ask}));
  state.apply(entry);
  return state.take_snapshot();
}

}  // namespace

void Cluster::equip(Core& core) {
  core.address = "10.0.0." + std::to_string(next_address_++) + ":7120";
  core.disk.set_sync(Duration(options_.sync_s));
  core.disk.set_lying(options_.lying_disks);
  core.disk.set_rate(options_.disk_bytes_s);
  core.disk_since = seconds();
  net_.set_bandwidth(core.address, options_.bandwidth);
}

// Every member holds the same snapshot, in which revision 1 stands.
void Cluster::lay_ballast() {
  options_.allowances =
      R"({"windowMs":600000,"holderHeader":"Holder","keyHeader":"Retrieval-Key","accounts":[]})";
  ++next_change_;
  std::string text = configuration(1, 0);
  checker_.service_set(shards_);
  checker_.change_sent(0, 1, text);
  checker_.change_answered(seconds(), 0, 1, text, 200);
  for (auto& who : operators_) who->seen = 1;
  raft::PersistentState past;
  past.vote.term = 1;
  past.commit = past.snapshot.index = 2;
  past.snapshot.term = 1;
  past.snapshot.state = folded(text, options_.ballast);
  past.snapshot.membership.target_size = static_cast<std::uint32_t>(options_.cores);
  for (std::size_t i = 0; i < cores_.size(); ++i)
    past.snapshot.membership.voters.push_back({2 * i + 1, cores_[i]->address});
  for (std::size_t i = 0; i < cores_.size(); ++i) {
    past.self = 2 * i + 1;
    cores_[i]->disk.put_back(past);
    cores_[i]->first_start = false;
  }
}

double Cluster::transfer_s() const {
  auto bytes = static_cast<double>(options_.ballast);
  // To those that are lost, and to the successor of one that is to leave, over one way out.
  const auto lost = (options_.cores - 1) / 2;
  double at_once = static_cast<double>(lost + 1);
  double wire = options_.bandwidth > 0 ? at_once * bytes / options_.bandwidth : 0;
  double disk = options_.disk_bytes_s > 0 ? bytes / options_.disk_bytes_s : 0;
  // A leader whose disk takes the state for longer than a lease loses its lead over a fold: it begins anew.
  return (wire + disk) * (disk > 0.25 ? 2 : 1);
}

bool Cluster::caught_up(std::size_t core, raft::Index commit) const {
  const control_plane::Member* here = member(core);
  if (!here) return false;
  const raft::Log& log = here->core().log();
  return log.membership().has(here->core().self()) && log.last() >= commit;
}

bool Cluster::transfer_under_way() const {
  int leads = leader();
  if (leads < 0) return false;
  const auto& core = member(static_cast<std::size_t>(leads))->core();
  for (std::size_t i = 0; i < cores_.size(); ++i)
    if (const auto* other = member(i); other && other->core().log().last() < core.log().snapshot().index)
      return true;
  return false;
}

}  // namespace pearspar::simulation

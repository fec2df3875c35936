// Snapshot encoding of the quota ledger.
#include "protocol/pack.h"
#include "quota/quota_ledger.h"

namespace pearspar::quota {
namespace {

constexpr std::size_t max_items = 1 << 20;

void put(protocol::Packer& packer, const AccountKey& account_key) {
  packer.text(account_key.holder);
  packer.text(account_key.kind);
}
AccountKey get_account_key(protocol::Unpacker& in) {
  AccountKey account_key;
  account_key.holder = in.text();
  account_key.kind = in.text();
  return account_key;
}

}  // namespace

void QuotaLedger::save(protocol::Packer& packer) const {
  packer.array(2);
  packer.array(windows_.size());
  for (const WindowState& each : windows_) {
    packer.array(3);
    packer.number(each.number);
    packer.array(each.counts.size());
    for (const auto& [account_key, count] : each.counts) {
      packer.array(9);
      put(packer, account_key);
      for (std::uint64_t value : {count.out, count.drawn, count.unsure, count.in_doubt, count.given_back,
                                  count.repeated, count.refused})
        packer.number(value);
    }
    packer.array(each.keys.size());
    for (const auto& [key, claim] : each.keys) {
      packer.array(5);
      packer.number(key);
      put(packer, claim.account_key);
      packer.number(claim.tries);
      packer.flag(claim.unsure);
    }
  }
  packer.array(edges_.size());
  for (const auto& [session, edge] : edges_) {
    packer.array(6);
    packer.number(session);
    packer.number(edge.number);
    packer.flag(edge.expired);
    packer.number(edge.heard);
    packer.array(edge.given.size());
    for (const GrantResult& given : edge.given) {
      packer.array(4);
      put(packer, given.account_key);
      packer.number(given.count);
      packer.flag(given.exhausted);
    }
    packer.array(edge.grants.size());
    for (const auto& [place, grant] : edge.grants) {
      packer.array(5);
      put(packer, place.first);
      packer.number(place.second);
      packer.number(grant.out);
      packer.number(grant.in_doubt);
    }
  }
}

bool QuotaLedger::restore(protocol::Unpacker& in) {
  windows_.clear();
  edges_.clear();
  in.enter(8);
  std::size_t windows = in.enter(max_items);
  for (std::size_t i = 0; i < windows && in.good(); ++i) {
    in.enter(8);
    WindowState& each = windows_.emplace_back();
    each.number = in.number();
    std::size_t counts = in.enter(max_items);
    for (std::size_t j = 0; j < counts && in.good(); ++j) {
      in.enter(16);
      UsageCounts& count = each.counts[get_account_key(in)];
      for (std::uint64_t* value : {&count.out, &count.drawn, &count.unsure, &count.in_doubt,
                                   &count.given_back, &count.repeated, &count.refused})
        *value = in.number();
      in.leave();
    }
    in.leave();
    std::size_t keys = in.enter(max_items);
    for (std::size_t j = 0; j < keys && in.good(); ++j) {
      in.enter(8);
      RequestKey key = in.number();
      Claim& claim = each.keys[key];
      claim.account_key = get_account_key(in);
      claim.tries = in.number();
      claim.unsure = in.flag();
      in.leave();
    }
    in.leave();
    in.leave();
  }
  in.leave();
  std::size_t edges = in.enter(max_items);
  for (std::size_t i = 0; i < edges && in.good(); ++i) {
    in.enter(8);
    EdgeState& edge = edges_[in.number()];
    edge.number = in.number();
    edge.expired = in.flag();
    edge.heard = in.number();
    std::size_t given = in.enter(max_items);
    for (std::size_t j = 0; j < given && in.good(); ++j) {
      in.enter(8);
      GrantResult& each = edge.given.emplace_back();
      each.account_key = get_account_key(in);
      each.count = in.number();
      each.exhausted = in.flag();
      in.leave();
    }
    in.leave();
    std::size_t grants = in.enter(max_items);
    for (std::size_t j = 0; j < grants && in.good(); ++j) {
      in.enter(8);
      AccountKey account_key = get_account_key(in);
      Window window = in.number();
      Grant& grant = edge.grants[{std::move(account_key), window}];
      grant.out = in.number();
      grant.in_doubt = in.number();
      in.leave();
    }
    in.leave();
    in.leave();
  }
  in.leave();
  in.leave();
  return in.good();
}

}  // namespace pearspar::quota

// The agreed accounts as bytes, for snapshots.
#include "protocol/pack.h"
#include "quota/quota_ledger.h"

namespace pearspar::quota {
namespace {

constexpr std::size_t most_lines = 1 << 20;

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
  packer.array(periods_.size());
  for (const Period& each : periods_) {
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
  packer.array(held_.size());
  for (const auto& [session, held] : held_) {
    packer.array(6);
    packer.number(session);
    packer.number(held.number);
    packer.flag(held.gone);
    packer.number(held.heard);
    packer.array(held.given.size());
    for (const GrantResult& given : held.given) {
      packer.array(4);
      put(packer, given.account_key);
      packer.number(given.count);
      packer.flag(given.exhausted);
    }
    packer.array(held.grants.size());
    for (const auto& [place, grant] : held.grants) {
      packer.array(5);
      put(packer, place.first);
      packer.number(place.second);
      packer.number(grant.out);
      packer.number(grant.in_doubt);
    }
  }
}

bool QuotaLedger::restore(protocol::Unpacker& in) {
  periods_.clear();
  held_.clear();
  in.enter(8);
  std::size_t periods = in.enter(most_lines);
  for (std::size_t i = 0; i < periods && in.good(); ++i) {
    in.enter(8);
    Period& each = periods_.emplace_back();
    each.number = in.number();
    std::size_t counts = in.enter(most_lines);
    for (std::size_t j = 0; j < counts && in.good(); ++j) {
      in.enter(16);
      UsageCounts& count = each.counts[get_account_key(in)];
      for (std::uint64_t* value : {&count.out, &count.drawn, &count.unsure, &count.in_doubt,
                                   &count.given_back, &count.repeated, &count.refused})
        *value = in.number();
      in.leave();
    }
    in.leave();
    std::size_t keys = in.enter(most_lines);
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
  std::size_t sessions_with_tokens = in.enter(most_lines);
  for (std::size_t i = 0; i < sessions_with_tokens && in.good(); ++i) {
    in.enter(8);
    Held& held = held_[in.number()];
    held.number = in.number();
    held.gone = in.flag();
    held.heard = in.number();
    std::size_t given = in.enter(most_lines);
    for (std::size_t j = 0; j < given && in.good(); ++j) {
      in.enter(8);
      GrantResult& each = held.given.emplace_back();
      each.account_key = get_account_key(in);
      each.count = in.number();
      each.exhausted = in.flag();
      in.leave();
    }
    in.leave();
    std::size_t grants = in.enter(most_lines);
    for (std::size_t j = 0; j < grants && in.good(); ++j) {
      in.enter(8);
      AccountKey account_key = get_account_key(in);
      Window window = in.number();
      Grant& grant = held.grants[{std::move(account_key), window}];
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

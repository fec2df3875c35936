// The agreed accounts as bytes, for snapshots.
#include "pramperet/accounts.h"
#include "protocol/pack.h"

namespace pearspar::pramperet {
namespace {

constexpr std::size_t most_lines = 1 << 20;

void put(protocol::Packer& packer, const Leaf& leaf) {
  packer.text(leaf.holder);
  packer.text(leaf.kind);
}
Leaf get_leaf(protocol::Unpacker& in) {
  Leaf leaf;
  leaf.holder = in.text();
  leaf.kind = in.text();
  return leaf;
}

}  // namespace

void Accounts::fold(protocol::Packer& packer) const {
  packer.array(2);
  packer.array(periods_.size());
  for (const Period& each : periods_) {
    packer.array(3);
    packer.number(each.number);
    packer.array(each.counts.size());
    for (const auto& [leaf, count] : each.counts) {
      packer.array(9);
      put(packer, leaf);
      for (std::uint64_t value : {count.out, count.drawn, count.unsure, count.in_doubt, count.given_back,
                                  count.repeated, count.refused})
        packer.number(value);
    }
    packer.array(each.keys.size());
    for (const auto& [key, claim] : each.keys) {
      packer.array(5);
      packer.number(key);
      put(packer, claim.leaf);
      packer.number(claim.tries);
      packer.flag(claim.unsure);
    }
  }
  packer.array(held_.size());
  for (const auto& [life, held] : held_) {
    packer.array(6);
    packer.number(life);
    packer.number(held.number);
    packer.flag(held.gone);
    packer.number(held.heard);
    packer.array(held.given.size());
    for (const Given& given : held.given) {
      packer.array(4);
      put(packer, given.leaf);
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

bool Accounts::restore(protocol::Unpacker& in) {
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
      Count& count = each.counts[get_leaf(in)];
      for (std::uint64_t* value : {&count.out, &count.drawn, &count.unsure, &count.in_doubt,
                                   &count.given_back, &count.repeated, &count.refused})
        *value = in.number();
      in.leave();
    }
    in.leave();
    std::size_t keys = in.enter(most_lines);
    for (std::size_t j = 0; j < keys && in.good(); ++j) {
      in.enter(8);
      Key key = in.number();
      Claim& claim = each.keys[key];
      claim.leaf = get_leaf(in);
      claim.tries = in.number();
      claim.unsure = in.flag();
      in.leave();
    }
    in.leave();
    in.leave();
  }
  in.leave();
  std::size_t lives = in.enter(most_lines);
  for (std::size_t i = 0; i < lives && in.good(); ++i) {
    in.enter(8);
    Held& held = held_[in.number()];
    held.number = in.number();
    held.gone = in.flag();
    held.heard = in.number();
    std::size_t given = in.enter(most_lines);
    for (std::size_t j = 0; j < given && in.good(); ++j) {
      in.enter(8);
      Given& each = held.given.emplace_back();
      each.leaf = get_leaf(in);
      each.count = in.number();
      each.exhausted = in.flag();
      in.leave();
    }
    in.leave();
    std::size_t grants = in.enter(most_lines);
    for (std::size_t j = 0; j < grants && in.good(); ++j) {
      in.enter(8);
      Leaf leaf = get_leaf(in);
      Window window = in.number();
      Grant& grant = held.grants[{std::move(leaf), window}];
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

}  // namespace pearspar::pramperet

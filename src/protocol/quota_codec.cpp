#include "protocol/quota_codec.h"

namespace pearspar::protocol {
namespace {

using pramperet::Amount;
using pramperet::Leaf;

constexpr std::size_t most_items = 1 << 18;
constexpr std::size_t most_fields = 32;

void put(Packer& packer, const Leaf& leaf) {
  packer.text(leaf.holder);
  packer.text(leaf.kind);
}
Leaf get_leaf(Unpacker& in) {
  Leaf leaf;
  leaf.holder = in.text();
  leaf.kind = in.text();
  return leaf;
}

void put(Packer& packer, const std::vector<Amount>& amounts) {
  packer.array(amounts.size());
  for (const Amount& each : amounts) {
    packer.array(3);
    put(packer, each.leaf);
    packer.number(each.count);
  }
}
std::vector<Amount> get_amounts(Unpacker& in) {
  std::vector<Amount> amounts;
  std::size_t count = in.enter(most_items);
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    in.enter(most_fields);
    Amount& each = amounts.emplace_back();
    each.leaf = get_leaf(in);
    each.count = in.number();
    in.leave();
  }
  in.leave();
  return amounts;
}

void put(Packer& packer, const std::vector<pramperet::Back>& backs) {
  packer.array(backs.size());
  for (const pramperet::Back& each : backs) {
    packer.array(3);
    put(packer, each.leaf);
    packer.number(each.key);
  }
}
std::vector<pramperet::Back> get_backs(Unpacker& in) {
  std::vector<pramperet::Back> backs;
  std::size_t count = in.enter(most_items);
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    in.enter(most_fields);
    pramperet::Back& each = backs.emplace_back();
    each.leaf = get_leaf(in);
    each.key = in.number();
    in.leave();
  }
  in.leave();
  return backs;
}

}  // namespace

void pack(Packer& packer, const pramperet::Ask& ask) {
  packer.array(9);
  packer.number(ask.life);
  packer.number(ask.number);
  packer.number(ask.window);
  packer.array(ask.settled.size());
  for (const pramperet::Settled& each : ask.settled) {
    packer.array(4);
    put(packer, each.leaf);
    packer.number(each.window);
    packer.array(each.keys.size());
    for (pramperet::Key key : each.keys) packer.number(key);
  }
  put(packer, ask.back);
  put(packer, ask.unsure);
  put(packer, ask.returned);
  put(packer, ask.refused);
  put(packer, ask.wants);
}

pramperet::Ask unpack_ask(Unpacker& in) {
  pramperet::Ask ask;
  in.enter(most_fields);
  ask.life = in.number();
  ask.number = in.number();
  ask.window = in.number();
  std::size_t count = in.enter(most_items);
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    in.enter(most_fields);
    pramperet::Settled& each = ask.settled.emplace_back();
    each.leaf = get_leaf(in);
    each.window = in.number();
    std::size_t keys = in.enter(most_items);
    for (std::size_t j = 0; j < keys && in.good(); ++j) each.keys.push_back(in.number());
    in.leave();
    in.leave();
  }
  in.leave();
  ask.back = get_backs(in);
  ask.unsure = get_backs(in);
  ask.returned = get_amounts(in);
  ask.refused = get_amounts(in);
  ask.wants = get_amounts(in);
  in.leave();
  return ask;
}

void pack(Packer& packer, const pramperet::Tell& tell) {
  packer.array(6);
  packer.number(tell.number);
  packer.number(tell.window);
  packer.number(tell.left_ms);
  packer.flag(tell.gone);
  packer.array(tell.given.size());
  for (const pramperet::Given& each : tell.given) {
    packer.array(4);
    put(packer, each.leaf);
    packer.number(each.count);
    packer.flag(each.exhausted);
  }
  packer.array(tell.recalled.size());
  for (const Leaf& leaf : tell.recalled) {
    packer.array(2);
    put(packer, leaf);
  }
}

pramperet::Tell unpack_tell(Unpacker& in) {
  pramperet::Tell tell;
  in.enter(most_fields);
  tell.number = in.number();
  tell.window = in.number();
  tell.left_ms = in.number();
  tell.gone = in.flag();
  std::size_t count = in.enter(most_items);
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    in.enter(most_fields);
    pramperet::Given& each = tell.given.emplace_back();
    each.leaf = get_leaf(in);
    each.count = in.number();
    each.exhausted = in.flag();
    in.leave();
  }
  in.leave();
  count = in.enter(most_items);
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    in.enter(most_fields);
    tell.recalled.push_back(get_leaf(in));
    in.leave();
  }
  in.leave();
  in.leave();
  return tell;
}

std::string pack_quota_commands(const std::vector<QuotaCommand>& steps) {
  Packer packer;
  packer.array(steps.size());
  for (const QuotaCommand& step : steps) {
    packer.array(2);
    packer.number(step.index());
    if (const auto* ask = std::get_if<pramperet::Ask>(&step))
      pack(packer, *ask);
    else if (const auto* turn = std::get_if<AdvanceWindow>(&step))
      packer.number(turn->window);
    else
      packer.number(std::get<ExpireEdge>(step).life);
  }
  return std::string(packer.view());
}

std::optional<std::vector<QuotaCommand>> unpack_quota_commands(std::string_view bytes) {
  Unpacker in(bytes);
  std::vector<QuotaCommand> steps;
  while (in.good() && in.more()) {
    in.enter(most_fields);
    switch (in.number()) {
      case 0:
        steps.emplace_back(unpack_ask(in));
        break;
      case 1:
        steps.emplace_back(AdvanceWindow{in.number()});
        break;
      case 2:
        steps.emplace_back(ExpireEdge{in.number()});
        break;
      default:
        return std::nullopt;
    }
    in.leave();
  }
  if (!in.good()) return std::nullopt;
  return steps;
}

}  // namespace pearspar::protocol

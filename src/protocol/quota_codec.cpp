#include "protocol/quota_codec.h"

namespace pearspar::protocol {
namespace {

using quota::AccountKey;
using quota::Amount;

constexpr std::size_t max_items = 1 << 18;
constexpr std::size_t max_fields = 32;

void put(Packer& packer, const AccountKey& account_key) {
  packer.text(account_key.holder);
  packer.text(account_key.kind);
}
AccountKey get_account_key(Unpacker& in) {
  AccountKey account_key;
  account_key.holder = in.text();
  account_key.kind = in.text();
  return account_key;
}

void put(Packer& packer, const std::vector<Amount>& amounts) {
  packer.array(amounts.size());
  for (const Amount& each : amounts) {
    packer.array(3);
    put(packer, each.account_key);
    packer.number(each.count);
  }
}
std::vector<Amount> get_amounts(Unpacker& in) {
  std::vector<Amount> amounts;
  std::size_t count = in.enter(max_items);
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    in.enter(max_fields);
    Amount& each = amounts.emplace_back();
    each.account_key = get_account_key(in);
    each.count = in.number();
    in.leave();
  }
  in.leave();
  return amounts;
}

void put(Packer& packer, const std::vector<quota::DrawId>& returns) {
  packer.array(returns.size());
  for (const quota::DrawId& each : returns) {
    packer.array(3);
    put(packer, each.account_key);
    packer.number(each.key);
  }
}
std::vector<quota::DrawId> get_returns(Unpacker& in) {
  std::vector<quota::DrawId> returns;
  std::size_t count = in.enter(max_items);
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    in.enter(max_fields);
    quota::DrawId& each = returns.emplace_back();
    each.account_key = get_account_key(in);
    each.key = in.number();
    in.leave();
  }
  in.leave();
  return returns;
}

}  // namespace

void pack(Packer& packer, const quota::QuotaRequest& request) {
  packer.array(9);
  packer.number(request.session);
  packer.number(request.number);
  packer.number(request.window);
  packer.array(request.settled.size());
  for (const quota::SettledDraws& each : request.settled) {
    packer.array(4);
    put(packer, each.account_key);
    packer.number(each.window);
    packer.array(each.keys.size());
    for (quota::RequestKey key : each.keys) packer.number(key);
  }
  put(packer, request.not_run);
  put(packer, request.unsure);
  put(packer, request.returned);
  put(packer, request.refused);
  put(packer, request.wants);
}

quota::QuotaRequest unpack_quota_request(Unpacker& in) {
  quota::QuotaRequest request;
  in.enter(max_fields);
  request.session = in.number();
  request.number = in.number();
  request.window = in.number();
  std::size_t count = in.enter(max_items);
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    in.enter(max_fields);
    quota::SettledDraws& each = request.settled.emplace_back();
    each.account_key = get_account_key(in);
    each.window = in.number();
    std::size_t keys = in.enter(max_items);
    for (std::size_t j = 0; j < keys && in.good(); ++j) each.keys.push_back(in.number());
    in.leave();
    in.leave();
  }
  in.leave();
  request.not_run = get_returns(in);
  request.unsure = get_returns(in);
  request.returned = get_amounts(in);
  request.refused = get_amounts(in);
  request.wants = get_amounts(in);
  in.leave();
  return request;
}

void pack(Packer& packer, const quota::QuotaReply& reply) {
  packer.array(6);
  packer.number(reply.number);
  packer.number(reply.window);
  packer.number(reply.left_ms);
  packer.flag(reply.session_expired);
  packer.array(reply.given.size());
  for (const quota::GrantResult& each : reply.given) {
    packer.array(4);
    put(packer, each.account_key);
    packer.number(each.count);
    packer.flag(each.exhausted);
  }
  packer.array(reply.recalled.size());
  for (const AccountKey& account_key : reply.recalled) {
    packer.array(2);
    put(packer, account_key);
  }
}

quota::QuotaReply unpack_quota_reply(Unpacker& in) {
  quota::QuotaReply reply;
  in.enter(max_fields);
  reply.number = in.number();
  reply.window = in.number();
  reply.left_ms = in.number();
  reply.session_expired = in.flag();
  std::size_t count = in.enter(max_items);
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    in.enter(max_fields);
    quota::GrantResult& each = reply.given.emplace_back();
    each.account_key = get_account_key(in);
    each.count = in.number();
    each.exhausted = in.flag();
    in.leave();
  }
  in.leave();
  count = in.enter(max_items);
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    in.enter(max_fields);
    reply.recalled.push_back(get_account_key(in));
    in.leave();
  }
  in.leave();
  in.leave();
  return reply;
}

std::string pack_quota_commands(const std::vector<QuotaCommand>& commands) {
  Packer packer;
  packer.array(commands.size());
  for (const QuotaCommand& command : commands) {
    packer.array(2);
    packer.number(command.index());
    if (const auto* request = std::get_if<quota::QuotaRequest>(&command))
      pack(packer, *request);
    else if (const auto* advance = std::get_if<AdvanceWindow>(&command))
      packer.number(advance->window);
    else
      packer.number(std::get<ExpireEdge>(command).session);
  }
  return std::string(packer.view());
}

std::optional<std::vector<QuotaCommand>> unpack_quota_commands(std::string_view bytes) {
  Unpacker in(bytes);
  std::vector<QuotaCommand> commands;
  while (in.good() && in.more()) {
    in.enter(max_fields);
    switch (in.number()) {
      case 0:
        commands.emplace_back(unpack_quota_request(in));
        break;
      case 1:
        commands.emplace_back(AdvanceWindow{in.number()});
        break;
      case 2:
        commands.emplace_back(ExpireEdge{in.number()});
        break;
      default:
        return std::nullopt;
    }
    in.leave();
  }
  if (!in.good()) return std::nullopt;
  return commands;
}

}  // namespace pearspar::protocol

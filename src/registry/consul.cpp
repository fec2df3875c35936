#include "registry/consul.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "json/json.h"

namespace pearspar::registry::consul {
namespace {

// Everything but what RFC 3986 calls unreserved, and the slash that parts a key.
std::string escaped(std::string_view text) {
  std::string out;
  for (char c : text) {
    bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
                 c == '_' || c == '.' || c == '~' || c == '/';
    if (plain)
      out.push_back(c);
    else
      out += fmt::format("%{:02X}", static_cast<unsigned char>(c));
  }
  return out;
}

std::string path_of(std::string_view key) { return "/v1/kv/" + escaped(key); }

std::optional<std::int64_t> header_number(const http::ReplyStream& reply, const char* name) {
  std::string_view text = reply.header(name);
  std::int64_t number = 0;
  auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || error != std::errc() || stop != text.data() + text.size()) return std::nullopt;
  return number;
}

std::int64_t number_of(const json::Value& object, const char* name) {
  const json::Value* value = object.find(name);
  auto number = value ? value->integer() : std::nullopt;
  if (!number) throw json::ParseError(std::string(name) + " is no whole number");
  return *number;
}

KeyItem read_entry(const json::Value& entry) {
  KeyItem each;
  const json::Value* key = entry.find("Key");
  auto name = key ? key->text() : std::nullopt;
  if (!name || name->empty()) throw json::ParseError("Key is missing");
  each.key = std::move(*name);
  each.item.created = number_of(entry, "CreateIndex");
  each.item.modified = number_of(entry, "ModifyIndex");
  const json::Value* value = entry.find("Value");
  if (value && !value->is(json::Kind::null)) read_value(*value, each.item);
  return each;
}

class ListReader final : public ReplyReader {
 public:
  ListReader(const WireLimits& limits, const Options& options, std::uint64_t ticket, WireUser& user)
      : framer_(limits.framer(), true), options_(options), ticket_(ticket), user_(user) {}

  bool head(const http::ReplyStream& reply) override {
    // 404: there is no key under the prefix.
    none_ = reply.status() == 404;
    if (reply.status() != 200 && !none_) return fail(Fault::status, fmt::format("status {}", reply.status()));
    auto index = header_number(reply, "X-Consul-Index");
    if (!index) return fail(Fault::malformed, "X-Consul-Index is missing");
    page_.header.revision = *index;
    if (options_.consistency != Consistency::stale) return true;
    auto contact = header_number(reply, "X-Consul-LastContact");
    if (reply.header("X-Consul-KnownLeader") == "false")
      return fail(Fault::status, "a server without a leader");
    if (contact && net::Duration(static_cast<double>(*contact) / 1000) > options_.most_behind)
      return fail(Fault::status, fmt::format("a server {} ms behind its leader", *contact));
    return true;
  }

  bool piece(std::string_view bytes) override {
    if (none_) return true;
    bool fine = true;
    auto result = framer_.feed(bytes, [&](std::string_view object) { return fine = take(object); });
    if (!fine) return false;
    if (result == Framer::Result::malformed) return fail(Fault::malformed, "no list of objects");
    if (result == Framer::Result::too_large) return fail(Fault::too_large, "an entry over the limit");
    return true;
  }

  bool end() override {
    if (!none_ && !framer_.whole_list()) return fail(Fault::malformed, "half a list");
    std::sort(page_.items.begin(), page_.items.end(),
              [](const KeyItem& a, const KeyItem& b) { return a.key < b.key; });
    page_.count = static_cast<std::int64_t>(page_.items.size());
    user_.page_read(ticket_, std::move(page_));
    return true;
  }

 private:
  bool take(std::string_view object) {
    try {
      KeyItem each = read_entry(json::parse(object));
      bytes_ += each.key.size() + each.item.value.size() + sizeof(KeyItem);
      if (bytes_ > most_bytes) return fail(Fault::too_large, "a list over the limit");
      page_.items.push_back(std::move(each));
      return true;
    } catch (const json::ParseError& error) {
      return fail(Fault::malformed, error.what());
    }
  }

  static constexpr std::size_t most_bytes = std::size_t{32} << 20;  // the view's own limit is below it
  Framer framer_;
  Options options_;
  std::uint64_t ticket_;
  WireUser& user_;
  bool none_ = false;
  std::size_t bytes_ = 0;
  Page page_;
};

}  // namespace

Request put(std::string_view key, std::string_view value) {
  return {"PUT", path_of(key), std::string(value)};
}
Request put_if(std::string_view key, std::string_view value, Revision modified) {
  return {"PUT", fmt::format("{}?cas={}", path_of(key), modified), std::string(value)};
}
Request get(std::string_view key) { return {"GET", path_of(key), {}}; }
Request remove(std::string_view key) { return {"DELETE", path_of(key), {}}; }

Request session(std::int64_t seconds) {
  return {"PUT", "/v1/session/create",
          fmt::format("{{\"TTL\":\"{}s\",\"Behavior\":\"delete\",\"LockDelay\":\"0s\"}}", seconds)};
}
Request acquire(std::string_view key, std::string_view value, std::string_view session) {
  return {"PUT", path_of(key) + "?acquire=" + escaped(session), std::string(value)};
}
Request renew(std::string_view session) { return {"PUT", "/v1/session/renew/" + escaped(session), {}}; }
Request destroy(std::string_view session) { return {"PUT", "/v1/session/destroy/" + escaped(session), {}}; }

std::string read_session(std::string_view reply) {
  json::Value value = json::parse(reply);
  const json::Value* id = value.find("ID");
  auto text = id ? id->text() : std::nullopt;
  if (!text || text->empty()) throw json::ParseError("ID is missing");
  return *text;
}

Request ConsulDialect::request(const Ask& ask) const {
  std::string target = path_of(prefix_) + "?recurse=true";
  if (ask.revision > 0)
    target += fmt::format("&index={}&wait={}ms", ask.revision, static_cast<long>(ask.wait.count() * 1000));
  if (options_.consistency == Consistency::consistent) target += "&consistent=true";
  if (options_.consistency == Consistency::stale) target += "&stale=true";
  return {"GET", target, {}};
}

std::unique_ptr<ReplyReader> ConsulDialect::reader(const Ask& ask, WireUser& user) const {
  return std::make_unique<ListReader>(limits_, options_, ask.ticket, user);
}

}  // namespace pearspar::registry::consul

#include "registry/etcd.h"

#include <absl/strings/escaping.h>
#include <fmt/format.h>

#include <charconv>

namespace pearspar::registry {

std::optional<std::string> decode_base64(std::string_view text) {
  std::string bytes;
  if (!absl::Base64Unescape({text.data(), text.size()}, &bytes)) return std::nullopt;
  return bytes;
}

void read_value(const json::Value& value, Item& item) {
  auto bytes = value.is(json::Kind::text) ? decode_base64(value.raw) : std::nullopt;
  item.oversized = !bytes;
  if (bytes) item.value = std::move(*bytes);
}

std::string encode_base64(std::string_view bytes) { return absl::Base64Escape({bytes.data(), bytes.size()}); }

}  // namespace pearspar::registry

namespace pearspar::registry::etcd {
namespace {

[[noreturn]] void fail(const char* name, const char* what) {
  throw json::ParseError(std::string(name) + " " + what);
}

template <typename T>
T whole_of(const json::Value& object, const char* name) {
  const json::Value* value = object.find(name);
  if (!value) return 0;
  T number = 0;
  auto [stop, error] = std::from_chars(value->raw.data(), value->raw.data() + value->raw.size(), number);
  if ((!value->is(json::Kind::text) && !value->is(json::Kind::number)) || error != std::errc() ||
      stop != value->raw.data() + value->raw.size())
    fail(name, "is no whole number");
  return number;
}

bool flag_of(const json::Value& object, const char* name) {
  const json::Value* value = object.find(name);
  if (!value) return false;
  auto flag = value->boolean();
  if (!flag) fail(name, "is neither true nor false");
  return *flag;
}

std::string key_of(const json::Value& kv) {
  const json::Value* value = kv.find("key");
  if (!value || !value->is(json::Kind::text)) fail("key", "is missing");
  auto key = decode_base64(value->raw);
  if (!key || key->empty()) fail("key", "cannot be read");
  return std::move(*key);
}

const std::vector<json::Value>& list_of(const json::Value& object, const char* name) {
  static const std::vector<json::Value> none;
  const json::Value* value = object.find(name);
  if (!value) return none;
  if (!value->is(json::Kind::array)) fail(name, "is no list");
  return value->items;
}

KeyItem read_kv(const json::Value& kv) {
  if (!kv.is(json::Kind::object)) fail("kv", "is no object");
  KeyItem each;
  each.key = key_of(kv);
  each.item.created = whole_of<Revision>(kv, "create_revision");
  each.item.modified = whole_of<Revision>(kv, "mod_revision");
  each.item.version = whole_of<std::int64_t>(kv, "version");
  if (const json::Value* value = kv.find("value")) read_value(*value, each.item);
  return each;
}

std::string quoted64(std::string_view bytes) { return fmt::format("\"{}\"", encode_base64(bytes)); }

Request post(const char* target, std::string body) { return {"POST", target, std::move(body)}; }

// One whole JSON object as the body.
class ObjectReader : public ReplyReader {
 public:
  explicit ObjectReader(const WireLimits& limits) : framer_(limits.framer()) {}

  bool head(const http::ReplyStream& reply) override {
    status_ = reply.status();
    return true;
  }
  bool piece(std::string_view bytes) override {
    bool fine = true;
    auto result = framer_.feed(bytes, [&](std::string_view object) { return fine = take(object); });
    if (!fine) return false;
    if (result == Framer::Result::malformed) return fail(Fault::malformed, "no JSON object");
    if (result == Framer::Result::too_large) return fail(Fault::too_large, "a message over the limit");
    return true;
  }
  bool end() override {
    if (!framer_.between()) return fail(Fault::malformed, "half a JSON object");
    if (objects_ > 0) return true;
    return status_ == 200 ? fail(Fault::malformed, "no JSON object")
                          : fail(Fault::status, fmt::format("status {}", status_));
  }

 protected:
  virtual void read(const json::Value& object) = 0;

 private:
  bool take(std::string_view object) {
    try {
      ++objects_;
      json::Value value = json::parse(object);
      if (status_ == 200) {
        read(value);
        return !failed_;
      }
      ErrorReply error = read_error(value);
      return fail(error.compacted() ? Fault::compacted : Fault::status,
                  fmt::format("status {}: {}", status_, error.text));
    } catch (const json::ParseError& error) {
      return fail(Fault::malformed, error.what());
    }
  }

 protected:
  void refuse(Fault fault, std::string why) { failed_ = !fail(fault, std::move(why)); }

 private:
  Framer framer_;
  int status_ = 0;
  int objects_ = 0;
  bool failed_ = false;
};

class PageReader final : public ObjectReader {
 public:
  PageReader(const WireLimits& limits, std::uint64_t ticket, WireUser& user)
      : ObjectReader(limits), ticket_(ticket), user_(user) {}
  bool end() override {
    if (!ObjectReader::end()) return false;
    user_.page_read(ticket_, std::move(page_));
    return true;
  }

 private:
  void read(const json::Value& object) override { page_ = read_page(object); }
  std::uint64_t ticket_;
  WireUser& user_;
  Page page_;
};

class LookReader final : public ObjectReader {
 public:
  LookReader(const WireLimits& limits, std::uint64_t ticket, WireUser& user)
      : ObjectReader(limits), ticket_(ticket), user_(user) {}
  bool end() override {
    if (!ObjectReader::end()) return false;
    user_.look_read(ticket_, standing_);
    return true;
  }

 private:
  void read(const json::Value& object) override { standing_ = read_standing(object); }
  std::uint64_t ticket_;
  WireUser& user_;
  Standing standing_;
};

class WatchReader final : public ObjectReader {
 public:
  WatchReader(const WireLimits& limits, std::uint64_t ticket, WireUser& user)
      : ObjectReader(limits), ticket_(ticket), user_(user) {}

 private:
  void read(const json::Value& object) override {
    WatchMessage message = read_watch(object);
    switch (message.kind) {
      case WatchMessage::Kind::made:
        return user_.watch_stands(ticket_, message.events.header);
      case WatchMessage::Kind::events:
        return user_.events_read(ticket_, std::move(message.events));
      case WatchMessage::Kind::cancelled:
        return refuse(message.compacted > 0 ? Fault::compacted : Fault::cancelled, message.reason);
      case WatchMessage::Kind::failed:
        return refuse(Fault::status, message.reason);
    }
  }
  std::uint64_t ticket_;
  WireUser& user_;
};

}  // namespace

std::string range_end(std::string_view prefix) {
  std::string end(prefix);
  while (!end.empty() && static_cast<unsigned char>(end.back()) == 0xff) end.pop_back();
  if (end.empty()) return std::string(1, '\0');  // all keys
  end.back() = static_cast<char>(static_cast<unsigned char>(end.back()) + 1);
  return end;
}

Header read_header(const json::Value& reply) {
  const json::Value* header = reply.find("header");
  if (!header || !header->is(json::Kind::object)) fail("header", "is missing");
  return {whole_of<std::uint64_t>(*header, "cluster_id"), whole_of<std::uint64_t>(*header, "member_id"),
          whole_of<Revision>(*header, "revision"), whole_of<std::uint64_t>(*header, "raft_term")};
}

Page read_page(const json::Value& reply) {
  Page page;
  page.header = read_header(reply);
  for (const json::Value& kv : list_of(reply, "kvs")) page.items.push_back(read_kv(kv));
  page.more = flag_of(reply, "more");
  page.count = whole_of<std::int64_t>(reply, "count");
  return page;
}

Standing read_standing(const json::Value& reply) {
  Page page = read_page(reply);
  Standing standing{page.header, page.count, 0, std::nullopt};
  if (!page.items.empty()) {
    standing.newest = page.items.front().item.modified;
    standing.item = std::move(page.items.front());
  }
  return standing;
}

WatchMessage read_watch(const json::Value& message) {
  WatchMessage read;
  if (const json::Value* error = message.find("error")) {
    read.kind = WatchMessage::Kind::failed;
    const json::Value* text = error->find("message");
    read.reason = text ? text->text().value_or("") : std::string(error->raw.substr(0, 200));
    return read;
  }
  const json::Value* result = message.find("result");
  if (!result || !result->is(json::Kind::object)) fail("result", "is missing");
  read.events.header = read_header(*result);
  read.events.fragment = flag_of(*result, "fragment");
  read.compacted = whole_of<Revision>(*result, "compact_revision");
  if (flag_of(*result, "canceled")) {
    read.kind = WatchMessage::Kind::cancelled;
    if (const json::Value* reason = result->find("cancel_reason")) read.reason = reason->text().value_or("");
    return read;
  }
  if (flag_of(*result, "created")) read.kind = WatchMessage::Kind::made;
  for (const json::Value& event : list_of(*result, "events")) {
    const json::Value* kv = event.find("kv");
    if (!kv) fail("kv", "is missing");
    KeyItem each = read_kv(*kv);
    Change change{std::move(each.key), std::nullopt, each.item.modified};
    const json::Value* type = event.find("type");
    if (!type || type->raw == "PUT" || type->raw == "0")
      change.item = std::move(each.item);
    else if (type->raw != "DELETE" && type->raw != "1")
      fail("type", "is neither PUT nor DELETE");
    read.events.changes.push_back(std::move(change));
  }
  return read;
}

ErrorReply read_error(const json::Value& reply) {
  ErrorReply error;
  if (const json::Value* code = reply.find("code"))
    error.code = static_cast<int>(code->integer().value_or(0));
  for (const char* name : {"message", "error"})
    if (const json::Value* text = reply.find(name); text && error.text.empty())
      error.text = text->text().value_or("");
  return error;
}

Request put(std::string_view key, std::string_view value, std::int64_t lease) {
  std::string body = fmt::format("{{\"key\":{},\"value\":{}", quoted64(key), quoted64(value));
  if (lease != 0) body += fmt::format(",\"lease\":\"{}\"", lease);
  return post("/v3/kv/put", body + "}");
}

Request remove(std::string_view key) {
  return post("/v3/kv/deleterange", fmt::format("{{\"key\":{}}}", quoted64(key)));
}

Request put_if(std::string_view key, std::string_view value, Revision modified) {
  return post("/v3/kv/txn",
              fmt::format("{{\"compare\":[{{\"key\":{0},\"target\":\"MOD\",\"result\":\"EQUAL\","
                          "\"mod_revision\":\"{2}\"}}],\"success\":[{{\"request_put\":{{\"key\":{0},"
                          "\"value\":{1}}}}}]}}",
                          quoted64(key), quoted64(value), modified));
}

Request get(std::string_view key) {
  return post("/v3/kv/range", fmt::format("{{\"key\":{}}}", quoted64(key)));
}

Request grant(std::int64_t seconds) {
  return post("/v3/lease/grant", fmt::format("{{\"TTL\":\"{}\"}}", seconds));
}

Request keep_alive(std::int64_t lease) {
  return post("/v3/lease/keepalive", fmt::format("{{\"ID\":\"{}\"}}", lease));
}

Request revoke(std::int64_t lease) {
  return post("/v3/lease/revoke", fmt::format("{{\"ID\":\"{}\"}}", lease));
}

std::pair<std::int64_t, std::int64_t> read_lease(const json::Value& reply) {
  const json::Value* result = reply.find("result");
  const json::Value& lease = result ? *result : reply;
  return {whole_of<std::int64_t>(lease, "ID"), whole_of<std::int64_t>(lease, "TTL")};
}

bool read_succeeded(const json::Value& reply) { return flag_of(reply, "succeeded"); }

Request EtcdDialect::request(const Ask& ask) const {
  std::string range = fmt::format("\"range_end\":{}", quoted64(range_end(prefix_)));
  switch (ask.kind) {
    case Ask::Kind::watch:
      return post("/v3/watch", fmt::format("{{\"create_request\":{{\"key\":{},{},\"start_revision\":\"{}\","
                                           "\"progress_notify\":true,\"fragment\":true}}}}",
                                           quoted64(prefix_), range, ask.revision));
    case Ask::Kind::look:
      return post("/v3/kv/range",
                  fmt::format("{{\"key\":{},{},\"limit\":\"1\",\"sort_order\":\"DESCEND\","
                              "\"sort_target\":\"MOD\",\"keys_only\":{},\"revision\":\"{}\"}}",
                              quoted64(prefix_), range, ask.with_item ? "false" : "true", ask.revision));
    default:
      break;
  }
  // The least key behind one is that key and a zero byte.
  std::string from = ask.after.empty() ? prefix_ : ask.after + '\0';
  std::string body =
      fmt::format("{{\"key\":{},{},\"limit\":\"{}\"", quoted64(from), range, std::max(ask.limit, 1));
  if (ask.revision > 0) body += fmt::format(",\"revision\":\"{}\"", ask.revision);
  return post("/v3/kv/range", body + "}");
}

std::unique_ptr<ReplyReader> EtcdDialect::reader(const Ask& ask, WireUser& user) const {
  if (ask.kind == Ask::Kind::watch) return std::make_unique<WatchReader>(limits_, ask.ticket, user);
  if (ask.kind == Ask::Kind::look) return std::make_unique<LookReader>(limits_, ask.ticket, user);
  return std::make_unique<PageReader>(limits_, ask.ticket, user);
}

}  // namespace pearspar::registry::etcd

#include "registry/call.h"

#include <charconv>

namespace pearspar::registry {

class Call::Reader final : public ReplyReader {
 public:
  explicit Reader(Reply& reply) : reply_(reply) {}
  bool head(const http::ReplyStream& head) override {
    reply_.status = head.status();
    std::string_view index = head.header("X-Consul-Index");
    std::from_chars(index.data(), index.data() + index.size(), reply_.index);
    return true;
  }
  bool piece(std::string_view bytes) override {
    if (reply_.body.size() + bytes.size() > most) return fail(Fault::too_large, "a reply over the limit");
    reply_.body += bytes;
    return true;
  }
  bool end() override { return true; }

 private:
  Reply& reply_;
};

void Call::send(const net::Address& address, const Request& request, const std::string& headers,
                net::Duration timeout, Done done) {
  give_up();
  reply_ = Reply();
  done_ = std::move(done);
  link_.send(address, request, headers, std::make_unique<Reader>(reply_));
  timer_ = loop_.at(loop_.now() + timeout, [this] {
    link_.close();
    end(nullptr, "no reply in time");
  });
}

void Call::give_up() {
  timer_.reset();
  if (busy()) link_.close();
  done_ = nullptr;
}

void Call::on_came(Link::Came came) {
  if (came == Link::Came::some) return;
  end(came == Link::Came::whole ? &reply_ : nullptr, link_.why());
}

void Call::end(const Reply* reply, const std::string& why) {
  timer_.reset();
  Done done = std::exchange(done_, nullptr);
  if (done) done(reply, why);
}

}  // namespace pearspar::registry

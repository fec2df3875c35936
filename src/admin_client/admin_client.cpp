#include "admin_client/admin_client.h"

#include <fmt/format.h>

#include <algorithm>

#include "http/stream.h"
#include "net/socket.h"

namespace pearspar::admin_client {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t most_reply = std::size_t{16} << 20;
constexpr net::Duration one_try = 1500ms;
constexpr int most_redirects = 2;

}  // namespace

AdminReply AdminClient::call_member(const std::string& member, const AdminRequest& request,
                                    net::Duration within) {
  AdminReply reply;
  reply.from = member;
  auto fail = [&](std::string why) {
    reply.status = 0;
    reply.fault = member + ": " + std::move(why);
    return reply;
  };
  auto address = net::Address::parse(member);
  if (!address) return fail("is no address such as 10.0.0.1:8729");
  int error = 0;
  net::Fd fd = net::start_connect(*address, error);
  if (!fd) return fail(std::generic_category().message(error));
  std::string out = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n{}", request.method,
                                request.path, request.host.empty() ? member : request.host, request.headers);
  if (!request.body.empty() || request.method == "PUT")
    out += fmt::format("Content-Type: application/json\r\nContent-Length: {}\r\n", request.body.size());
  out += "\r\n" + request.body;
  std::size_t written = 0;
  net::Buffer in;
  http::ReplyStream stream;
  std::string why;
  bool up = false, done = false;
  net::Time end = loop_.read_clock() + within;
  auto progress = [&](http::Progress now) {
    if (now == http::Progress::failed) why = stream.failed_why();
    done = done || now != http::Progress::more;
  };
  net::Watch watch;
  watch = loop_.watch(fd.get(), POLLIN | POLLOUT, [&](short) {
    if (!up) {
      if (int broken = net::connect_error(fd)) {
        why = std::generic_category().message(broken);
        done = true;
        return;
      }
      up = true;
    }
    if (written < out.size()) {
      std::size_t now = 0;
      net::write_from(fd, std::string_view(out).substr(written), now);
      written += now;
      if (written == out.size()) watch.want(POLLIN);
    }
    auto got = net::read_into(fd, in, 65536);
    if (got == net::IoResult::some) {
      progress(stream.advance(in, [&](std::string_view piece) {
        reply.body += piece;
        return reply.body.size() <= most_reply;
      }));
    } else if (got != net::IoResult::none && !done) {
      progress(stream.ended());
    }
  });
  while (!done && loop_.read_clock() < end) loop_.turn(end - loop_.read_clock());
  if (!done) return fail("no answer in time");
  if (!why.empty()) return fail(why);
  reply.status = stream.status();
  if (reply.status == 307) {
    std::string_view location = stream.header("Location");
    std::size_t scheme = location.find("://");
    reply.fault = std::string(scheme == location.npos ? location : location.substr(scheme + 3));
    reply.fault = reply.fault.substr(0, reply.fault.find('/'));
  }
  return reply;
}

AdminReply AdminClient::call(const AdminRequest& request, net::Duration within) {
  net::Time end = loop_.read_clock() + within;
  AdminReply last, said;
  last.fault = "no member is named";
  net::Duration pause = 50ms;
  for (std::size_t tries = 0; !members_.empty(); ++tries) {
    net::Duration left = end - loop_.read_clock();
    if (left <= net::Duration{}) break;
    std::string member = members_[next_];
    // Each is asked once before the time is over, whoever is silent.
    std::size_t others = tries < members_.size() ? members_.size() - tries : 1;
    last = call_member(member, request, std::min(left / others, net::Duration(one_try)));
    for (int hop = 0; hop < most_redirects && last.status == 307; ++hop)
      last = call_member(last.fault, request, std::min(net::Duration(one_try), end - loop_.read_clock()));
    if (last.status != 0 && last.status < 500 && last.status != 307) return last;
    if (last.status >= 500) said = last;
    next_ = (next_ + 1) % members_.size();
    if ((tries + 1) % members_.size() != 0) continue;
    net::Time go_on = loop_.read_clock() + std::min(pause, end - loop_.read_clock());
    while (loop_.read_clock() < go_on) loop_.turn(go_on - loop_.read_clock());
    pause = std::min(pause * 2, net::Duration(1s));
  }
  return last.status == 0 && said.status != 0 ? said : last;
}

}  // namespace pearspar::admin_client

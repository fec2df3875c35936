// Index servers' side of the wire.
#include "simulation/cluster_parts.h"

namespace pearspar::simulation {
namespace {

// Behind the last chunk; nothing of it is a line of the answer.
constexpr const char* trailers = "Request-Id: s1\r\nPostmark: none\r\nContent-Length: 3\r\n";

}  // namespace

Reach Cluster::reach(const std::string& address) {
  if (strikes_("connect_hung")) return Reach::hung;
  if (strikes_("connect_refused")) return Reach::refused;
  for (const auto& node : nodes_)
    if (node->address == address && node->dark) return Reach::hung;
  return Reach::open;  // to whoever listens
}

void Cluster::NodeServer::start() {
  all.streams_.listen(node.address, [this](EndPtr end) { accept(std::move(end)); });
}

void Cluster::NodeServer::end(bool dark) {
  all.streams_.stop(node.address);
  for (auto& [number, line] : lines) {
    line.end->on_change = [] {};
    dark ? line.end->hush() : line.end->close();
  }
  lines.clear();
}

void Cluster::NodeServer::accept(EndPtr end) {
  std::uint64_t number = ++next;
  end->on_change = [this, number] { step(number); };
  lines[number].end = std::move(end);
}

void Cluster::NodeServer::drop(std::uint64_t number, bool reset) {
  auto found = lines.find(number);
  if (found == lines.end()) return;
  EndPtr end = std::move(found->second.end);
  lines.erase(found);
  end->on_change = [] {};
  reset ? end->reset() : end->close();
}

void Cluster::NodeServer::flush(Line& line) {
  if (!line.out.empty()) line.out.erase(0, line.end->write(line.out));
}

void Cluster::NodeServer::step(std::uint64_t number) {
  for (;;) {
    auto found = lines.find(number);
    if (found == lines.end()) return;
    Line& line = found->second;
    flush(line);
    if (line.closing && line.out.empty()) return drop(number, false);
    line.in += line.end->take();
    if (line.end->state() != End::State::up || line.end->ended()) return drop(number, false);
    if (line.busy || line.closing || !line.out.empty()) return;
    PlainMessage request;
    switch (take_message(line.in, false, request)) {
      case Plain::more:
        hurry(number);
        return;
      case Plain::broken:
        all.checker_.broken("UNASKED", node.id + " was sent what is no request");
        return drop(number, true);
      case Plain::whole:
        break;
    }
    line.busy = true;
    line.hurried = false;
    line.head = request.method() == "HEAD";
    handle(number, request);
  }
}

void Cluster::NodeServer::note_run(const PlainMessage& request) {
  std::string id = request.header("Request-Id"), key = request.header("Retrieval-Key");
  if (!key.empty()) all.auditor_.ran(request.header("Holder"), id[0] == 'g' ? "sweep" : "pull", key);
  all.calls_.ran(node.id, id, request.method(), request.target(), request.body);
}

void Cluster::NodeServer::check_lines(const PlainMessage& request) {
  auto wrong = [&](const std::string& what) {
    all.checker_.broken("UNASKED", node.id + " was sent " + what + ": " + request.start);
  };
  if (request.header("Host") != "h") wrong("another host, " + request.header("Host"));
  if (request.has("X-Hop") || request.has("X-Skip") || request.has("Connection"))
    wrong("lines of another connection");
}

void Cluster::NodeServer::hurry(std::uint64_t number) {
  Line& line = lines.at(number);
  std::size_t end = line.in.find("\r\n\r\n");
  if (end == std::string::npos || std::exchange(line.hurried, true)) return;
  if (!all.strikes_("early_answer")) return;
  std::string head = line.in.substr(0, end);
  for (const char* name : {"\r\nRequest-Id: ", "\r\nrequest-id: "}) {
    std::size_t at = head.find(name);
    if (at == std::string::npos) continue;
    at += 14;
    std::string id = head.substr(at, head.find("\r\n", at) - at);
    bool unrun = all.world_.chance(0.5);
    line.busy = true;
    say(number, answer_text(unrun ? 503 : 500, id, {}, unrun ? "Not-Run: 1\r\n" : ""), true);
    return;
  }
}

void Cluster::NodeServer::handle(std::uint64_t number, const PlainMessage& request) {
  Line& line = lines.at(number);
  std::string id = request.header("Request-Id"), addressee = request.header("Addressee");
  Strikes& strikes = all.strikes_;
  if (strikes("node_reset_unread")) return drop(number, true);
  if (id.empty()) return turn_away(number, id, 400, "Not-Run: 1\r\n");
  if (!addressee.empty() && addressee != node.id) {
    ++all.misplaced_;
    return turn_away(number, id, 421, "");
  }
  check_lines(request);
  all.arrived(node, id);
  if (strikes("node_turns_away"))
    return turn_away(number, id, all.world_.chance(0.5) ? 503 : 429, "Not-Run: 1\r\n");
  if (strikes("node_silent")) {
    line.end->hush();
    // Run, or not; nobody will know.
    if (all.world_.chance(0.5))
      all.work(
          node, [this, request] { note_run(request); }, [] {}, [] {});
    return;
  }
  // A connection that rested, and that the node forgets as this comes.
  if (line.served > 0 && strikes("idle_reset_read")) {
    all.work(
        node, [this, request] { note_run(request); }, [] {}, [] {});
    return drop(number, true);
  }
  bool taken = all.work(
      node, [this, request] { note_run(request); }, [this, number, request] { reply(number, request); },
      [] {});
  if (!taken) turn_away(number, id, 503, "Not-Run: 1\r\n");
}

std::string Cluster::NodeServer::answer_text(int status, const std::string& id, const Made& made,
                                             const std::string& more, bool head) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  if (!id.empty()) text += "Request-Id: " + id + "\r\n";
  if (!made.stamp.empty()) text += "Postmark: " + made.stamp + "\r\n";
  // A careless node: two ids, one of them ours.
  if (!id.empty() && all.strikes_("two_ids")) text += "Request-Id: s1\r\n";
  text += more;
  if (head) {
    double drawn = all.world_.uniform(0, 1);
    if (drawn < 0.2) return text + "\r\n";
    if (drawn < 0.4) return text + "Transfer-Encoding: chunked\r\n\r\n";
    text += "Content-Length: " + std::to_string(made.body.size()) + "\r\n\r\n";
    return all.strikes_("head_body") ? text + made.body : text;
  }
  if (all.strikes_("trailers"))
    return text + "Transfer-Encoding: chunked\r\n\r\n" + in_chunks(made.body, all.world_, trailers);
  if (!all.strikes_("node_chunks"))
    return text + "Content-Length: " + std::to_string(made.body.size()) + "\r\n\r\n" + made.body;
  return text + "Transfer-Encoding: chunked\r\n\r\n" + in_chunks(made.body, all.world_);
}

void Cluster::NodeServer::turn_away(std::uint64_t number, const std::string& id, int status,
                                    const std::string& more) {
  say(number, answer_text(status, id, {}, more, lines.at(number).head), false);
}

// The answer to what was run, as it should be or otherwise.
void Cluster::NodeServer::reply(std::uint64_t number, const PlainMessage& request) {
  auto found = lines.find(number);
  if (found == lines.end()) return;
  Line& line = found->second;
  Strikes& strikes = all.strikes_;
  std::string id = request.header("Request-Id");
  if (strikes("node_reset_run")) return drop(number, true);
  int status = 200;
  if (strikes("node_fails")) {
    constexpr int failures[] = {500, 503, 504, 429, 408, 404};
    status = failures[all.world_.below(6)];
  }
  bool good = status == 200;
  // An answer that was made for something else goes under the name of that.
  std::string of = id;
  if (strikes("wrong_id"))
    of = (all.world_.chance(0.5) ? id.substr(0, 1) : "s") +
         std::to_string(1 + all.world_.below(all.next_request_));
  bool head = line.head;
  Made made = all.make_answer(node, of, good);
  if (head) all.records_[made.stamp].clear();  // they do not come
  bool close = strikes("node_closes");
  std::string more = close                    ? "Connection: close\r\n"
                     : all.world_.chance(0.3) ? "Keep-Alive: timeout=5\r\n"
                                              : "";
  bool unnamed = of == id && strikes("no_id");
  std::string text = answer_text(status, unnamed ? "" : of, made, more, head);
  if (strikes("interims"))
    for (int i = 0; i < 100; ++i) text = "HTTP/1.1 103 Early\r\nRequest-Id: s1\r\n\r\n" + text;
  if (strikes("interim")) text = "HTTP/1.1 102 Processing\r\n\r\n" + text;
  if (!line.late.empty()) text = std::exchange(line.late, {}) + text;
  if (strikes("late_answer")) line.late = answer_text(200, id, all.make_answer(node, id, true), "");
  if (strikes("late_unnamed")) line.late = answer_text(200, "", all.make_answer(node, id, true), "");
  if (strikes("two_answers")) text += answer_text(200, id, all.make_answer(node, id, true), "");
  if (strikes("surplus")) {
    std::string rest = all.world_.chance(0.5) ? "HTTP/1.1 200 OK\r\n" : std::string("\0\r\n\xff junk", 8);
    text += rest.substr(0, 1 + all.world_.below(rest.size()));
  }
  if (strikes("surplus_later")) {
    std::string second =
        answer_text(200, all.world_.chance(0.5) ? id : "", all.make_answer(node, id, true), "");
    all.world_.in(Duration(all.world_.uniform(0, 0.2)), [this, number, second] {
      auto later = lines.find(number);
      // Behind half an answer it would be taken for the rest of it by anybody.
      if (later == lines.end() || later->second.stalled) return;
      later->second.out += second;
      flush(later->second);
    });
  }
  if (strikes("answer_cut")) {
    line.out += text.substr(0, all.world_.below(text.size()));
    flush(line);
    bool reset = all.world_.chance(0.5);
    // What does not fit any more is cut as well.
    return drop(number, reset);
  }
  if (strikes("answer_stalls")) {
    line.out += text.substr(0, all.world_.below(text.size()));
    line.stalled = true;
    return flush(line);  // and nothing after it; it stays busy
  }
  say(number, std::move(text), close);
  if (strikes("idle_forget")) forget(number);
}

void Cluster::NodeServer::say(std::uint64_t number, std::string text, bool close) {
  auto found = lines.find(number);
  if (found == lines.end()) return;
  Line& line = found->second;
  line.out += text;
  line.busy = false;
  line.closing = close;
  ++line.served;
  if (all.strikes_("half_close")) {
    flush(line);
    line.end->finish();
  }
  step(number);
}

// Some time later, if it rests then; a request may be on its way to it.
void Cluster::NodeServer::forget(std::uint64_t number) {
  all.world_.in(Duration(all.world_.uniform(0, 0.4)), [this, number] {
    auto found = lines.find(number);
    if (found != lines.end() && !found->second.busy) drop(number, all.world_.chance(0.5));
  });
}

}  // namespace pearspar::simulation

#include "benchlink/frame.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstring>

namespace pearspar::benchlink {
namespace {

static_assert(std::endian::native == std::endian::little, "frames are little-endian and copied as they are");

enum EventCode : std::uint8_t {
  open_instance = 1,
  update = 2,
  submit = 3,
  head_received = 4,
  done = 5,
  cancelled_by_client = 6,
  bell = 7,
  status_back = 8,
  peer_data = 9,
  exit_instance = 10,
  ledger = 11,
  switch_to = 12
};

enum ActionCode : std::uint8_t {
  die = 1,
  tell = 2,
  probe = 3,
  drop_conns = 4,
  pull = 5,
  instance_code = 6,
  gather_up = 7,
  timer = 8,
  issue = 9,
  fail = 10,
  journal_line = 11,
  reject = 12,
  cancel = 13,
  listen = 14
};

constexpr std::size_t member_size = 22;
constexpr std::uint8_t last_slot = 15;
constexpr std::size_t max_text = 65535;

class Reader {
 public:
  explicit Reader(std::span<const std::uint8_t> bytes) : bytes_(bytes) {}

  template <typename T>
  T take() {
    need(sizeof(T));
    T value;
    std::memcpy(&value, bytes_.data() + at_, sizeof(T));
    at_ += sizeof(T);
    return value;
  }

  std::string take_text(std::size_t size) {
    need(size);
    std::string text(reinterpret_cast<const char*>(bytes_.data()) + at_, size);
    at_ += size;
    return text;
  }

  Time take_time() { return Time(Duration(take_finite<double>("a time"))); }
  Duration take_span() { return Duration(take_finite<double>("a span of time")); }

  template <typename T>
  T take_finite(const char* what) {
    T value = take<T>();
    if (!std::isfinite(value)) throw FrameError(std::string(what) + " is not a finite number");
    return value;
  }

  // Whole numbers that travel as f32.
  std::int64_t take_whole(const char* what) {
    double value = take_finite<float>(what);
    if (std::abs(value) > 4294967295.0 || value != std::floor(value))
      throw FrameError(std::string(what) + " is not a whole number");
    return static_cast<std::int64_t>(value);
  }

  std::size_t left() const { return bytes_.size() - at_; }

 private:
  void need(std::size_t size) const {
    if (left() < size) throw FrameError("a record ends beyond its frame");
  }

  std::span<const std::uint8_t> bytes_;
  std::size_t at_ = 0;
};

Outcome outcome_of(std::uint16_t code) {
  switch (code) {
    case 0:
      return Outcome::error;
    case 1:
      return Outcome::ok;
    case 2:
      return Outcome::refused;
    case 3:
      return Outcome::timeout;
    case 4:
      return Outcome::connect_failed;
    case 5:
      return Outcome::reset;
    case 6:
      return Outcome::cancelled;
    case 7:
      return Outcome::not_sent;
    default:
      throw FrameError("unknown outcome code " + std::to_string(code));
  }
}

std::vector<double> take_report(Reader& in) {
  std::vector<double> report(in.take<std::uint8_t>());
  for (double& value : report) value = in.take<float>();
  return report;
}

Member take_member(Reader& in) {
  Member member;
  member.node = in.take<std::uint32_t>();
  member.zone = in.take<std::uint8_t>();
  member.kind = in.take<std::uint16_t>();
  member.cell = in.take<std::uint16_t>();
  switch (std::uint8_t status = in.take<std::uint8_t>()) {
    case 0:
      member.status = NodeStatus::gone;
      break;
    case 1:
      member.status = NodeStatus::ready;
      break;
    case 2:
      member.status = NodeStatus::draining;
      break;
    default:
      throw FrameError("unknown list status " + std::to_string(status));
  }
  member.rating = in.take_finite<float>("a rating");
  double started = in.take_finite<double>("a start time");
  member.start_known = started != 0;
  member.started = Time(Duration(started));
  return member;
}

MemberListStored take_list(Reader& in) {
  MemberListStored list;
  list.slot = in.take<std::uint8_t>();
  if (list.slot > last_slot) throw FrameError("list number " + std::to_string(list.slot) + " is over 15");
  std::uint32_t count = in.take<std::uint32_t>();
  if (in.left() / member_size < count) throw FrameError("a list is longer than its frame");
  auto members = std::make_shared<std::vector<Member>>();
  members->reserve(count);
  for (std::uint32_t i = 0; i < count; ++i) members->push_back(take_member(in));
  list.members = std::move(members);
  return list;
}

MemberListChanged take_news(Reader& in) {
  MemberListChanged news;
  switch (std::uint8_t form = in.take<std::uint8_t>()) {
    case 0:
      news.form = MemberListForm::delta;
      break;
    case 1:
      news.form = MemberListForm::full;
      break;
    case 2:
      news.form = MemberListForm::saved;
      break;
    case 3:
      news.form = MemberListForm::failed;
      break;
    default:
      throw FrameError("unknown form of list " + std::to_string(form));
  }
  news.version = in.take<std::uint32_t>();
  news.slot = in.take<std::uint8_t>();
  return news;
}

Event take_submit(Reader& in) {
  std::uint32_t job = in.take<std::uint32_t>();
  int cls = in.take<std::uint16_t>();
  auto tenant = static_cast<std::int32_t>(in.take<std::uint32_t>());
  std::uint64_t key = in.take<std::uint64_t>();
  Time deadline = in.take_time();
  Duration cost = Duration(in.take<double>());
  std::int64_t ordinal = in.take_whole("a query number");
  std::int64_t shard = in.take_whole("a shard");
  double amount = in.take_finite<float>("an amount");
  std::uint16_t options = in.take<std::uint16_t>();
  bool cost_known = (options & 1) != 0 && std::isfinite(cost.count());
  if (ordinal < 0) throw FrameError("a query number is negative");
  if (shard < 0) {
    if (amount < 0 || amount > 1e9) throw FrameError("a query's count of parts is out of range");
    QueryArrived query;
    query.query = job;
    query.ordinal = static_cast<std::uint32_t>(ordinal);
    query.cls = cls;
    query.tenant = tenant;
    query.key = key;
    query.deadline = deadline;
    query.cost_known = cost_known;
    query.cost = cost;
    query.parts = static_cast<int>(amount);
    query.repeat = (options & 2) != 0;
    query.write = (options & 4) != 0;
    return query;
  }
  if (shard > 0x7fffffff) throw FrameError("a shard is out of range");
  PartArrived part;
  part.part = job;
  part.ordinal = static_cast<std::uint32_t>(ordinal);
  part.shard = static_cast<int>(shard);
  part.weight = amount;
  part.key = key;
  part.cost_known = cost_known;
  part.cost = cost;
  return part;
}

Event take_done(Reader& in) {
  AttemptEnded ended;
  ended.part = in.take<std::uint32_t>();
  ended.node = in.take<std::uint32_t>();
  ended.took = in.take_span();
  ended.outcome = outcome_of(in.take<std::uint16_t>());
  ended.part_open = in.take<std::uint8_t>() == 0;  // `closed`: false while the part is still open
  ended.attempt = in.take<std::uint8_t>();
  ended.report = take_report(in);
  return ended;
}

Event take_status(Reader& in) {
  ProbeEnded ended;
  ended.took = in.take_span();
  ended.outcome = outcome_of(in.take<std::uint16_t>());
  ended.node = in.take<std::uint32_t>();
  ended.report = take_report(in);
  return ended;
}

Event take_head(Reader& in) {
  StreamStarted started;
  started.part = in.take<std::uint32_t>();
  started.attempt = in.take<std::uint8_t>();
  started.node = in.take<std::uint32_t>();
  started.took = in.take_span();
  return started;
}

Record take_record(Reader& in) {
  switch (std::uint8_t code = in.take<std::uint8_t>()) {
    case switch_to:
      return InstanceSelected{in.take<std::uint32_t>()};
    case open_instance: {
      InstanceStarted opened;
      opened.seed = in.take<std::uint64_t>();
      opened.settings = in.take_text(in.take<std::uint32_t>());
      return opened;
    }
    case ledger:
      return take_list(in);
    case update:
      return take_news(in);
    case submit:
      return take_submit(in);
    case head_received:
      return take_head(in);
    case done:
      return take_done(in);
    case cancelled_by_client:
      return Event(ClientDisconnected{in.take<std::uint32_t>()});
    case bell:
      return Event(TimerFired{in.take<std::uint64_t>()});
    case status_back:
      return take_status(in);
    case peer_data: {
      PeerMessage message;
      message.from = in.take<std::uint32_t>();
      message.payload = in.take_text(in.take<std::uint16_t>());
      return Event(std::move(message));
    }
    case exit_instance:
      return InstanceStopped{};
    default:
      throw FrameError("unknown record code " + std::to_string(code));
  }
}

template <typename T>
void put(Bytes& out, T value) {
  std::size_t at = out.size();
  out.resize(at + sizeof(T));
  std::memcpy(out.data() + at, &value, sizeof(T));
}

void put_code(Bytes& out, ActionCode code) { put(out, static_cast<std::uint8_t>(code)); }

// Longer texts are cut, at the start of a character.
void put_text(Bytes& out, const std::string& text) {
  std::size_t size = std::min(text.size(), max_text);
  while (size < text.size() && size > 0 && (static_cast<unsigned char>(text[size]) & 0xc0) == 0x80) --size;
  put(out, static_cast<std::uint16_t>(size));
  out.insert(out.end(), text.begin(), text.begin() + static_cast<std::ptrdiff_t>(size));
}

struct Encoder {
  Bytes& out;

  void operator()(const SendPart& a) const {
    put_code(out, issue);
    put(out, a.part);
    put(out, a.node);
    put(out, a.max_wait.count());
  }
  void operator()(const CancelAttempt& a) const {
    put_code(out, cancel);
    put(out, a.part);
    put(out, static_cast<std::uint8_t>(a.attempt));
  }
  void operator()(const AnswerQuery& a) const {
    put_code(out, gather_up);
    put(out, a.query);
    put(out, static_cast<std::uint8_t>(a.whole ? 1 : 0));
  }
  void operator()(const RefuseQuery& a) const {
    put_code(out, reject);
    put(out, a.query);
    put(out, a.retry_after.count());
  }
  void operator()(const FailQuery& a) const {
    put_code(out, fail);
    put(out, a.query);
  }
  void operator()(const ProbeNode& a) const {
    put_code(out, probe);
    put(out, a.node);
  }
  void operator()(const SendToPeer& a) const {
    put_code(out, tell);
    put(out, a.to);
    put_text(out, a.payload);
  }
  void operator()(const FetchMembers&) const { put_code(out, pull); }
  void operator()(const SubscribeMembers& a) const {
    put_code(out, listen);
    put(out, static_cast<std::uint8_t>(a.on ? 1 : 0));
  }
  void operator()(const SetTimer& a) const {
    put_code(out, timer);
    put(out, a.after.count());
    put(out, a.token);
  }
  void operator()(const DropIdleConnections& a) const {
    put_code(out, drop_conns);
    put(out, a.node);
  }
  void operator()(const LogLine& a) const {
    put_code(out, journal_line);
    put_text(out, a.text);
  }
};

}  // namespace

std::size_t declared_frame_size(std::span<const std::uint8_t> header) {
  std::uint32_t size = Reader(header).take<std::uint32_t>();
  if (size < batch_header_size) throw FrameError("a frame states a length shorter than its header");
  if (size > max_frame_size) throw FrameError("a frame states a length of over 1 GiB");
  return size;
}

Batch decode_batch(std::span<const std::uint8_t> frame) {
  if (declared_frame_size(frame) != frame.size()) throw FrameError("a frame is not as long as it states");
  Reader in(frame);
  in.take<std::uint32_t>();
  Batch batch;
  batch.now = in.take_time();
  std::uint32_t count = in.take<std::uint32_t>();
  if (count > in.left()) throw FrameError("a frame states more records than it has bytes");
  batch.records.reserve(count);
  for (std::uint32_t i = 0; i < count; ++i) batch.records.push_back(take_record(in));
  if (in.left() != 0) throw FrameError("a frame has bytes behind its last record");
  return batch;
}

void ReplyWriter::begin_instance(std::uint32_t number) {
  put_code(body_, instance_code);
  put(body_, number);
  ++records_;
}

void ReplyWriter::add_action(const Action& action) {
  std::visit(Encoder{body_}, action);
  ++records_;
}

void ReplyWriter::add_crash(const std::string& text) {
  put_code(body_, die);
  put_text(body_, text);
  ++records_;
}

Bytes ReplyWriter::finish() const {
  Bytes reply;
  reply.reserve(body_.size() + 8);
  put(reply, records_);
  put(reply, static_cast<std::uint32_t>(body_.size() + 8));
  reply.insert(reply.end(), body_.begin(), body_.end());
  return reply;
}

}  // namespace pearspar::benchlink

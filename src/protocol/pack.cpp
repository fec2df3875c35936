#include "protocol/pack.h"

#include "allocation/allocation.h"

namespace pearspar::protocol {
namespace {

constexpr std::uint64_t max_items = 1 << 20;  // in one message; msgpack-c allocates 24 bytes for each

// msgpack-c allocates an array by its declared length before it reads the elements, so that a few bytes could
// claim gigabytes. This checks all declared lengths against the bytes that are present.
bool lengths_fit(std::string_view bytes) {
  std::size_t at = 0;
  std::uint64_t pending = 1, items = 0;
  auto length = [&](int size) {
    std::uint64_t value = 0;
    for (int i = 0; i < size && at < bytes.size(); ++i)
      value = value << 8 | static_cast<unsigned char>(bytes[at++]);
    return value;
  };
  while (pending > 0) {
    if (at >= bytes.size() || ++items > max_items) return false;
    --pending;
    unsigned tag = static_cast<unsigned char>(bytes[at++]);
    std::uint64_t skip = 0, children = 0;
    if (tag <= 0x7f || tag >= 0xe0 || tag == 0xc0 || tag == 0xc2 || tag == 0xc3)
      skip = 0;
    else if (tag <= 0x8f)
      children = 2 * (tag & 15);
    else if (tag <= 0x9f)
      children = tag & 15;
    else if (tag <= 0xbf)
      skip = tag & 31;
    else if (tag >= 0xc4 && tag <= 0xc6)
      skip = length(1 << (tag - 0xc4));
    else if (tag >= 0xca && tag <= 0xcb)
      skip = tag == 0xca ? 4 : 8;
    else if (tag >= 0xcc && tag <= 0xd3)
      skip = std::uint64_t{1} << ((tag - 0xcc) & 3);
    else if (tag >= 0xd9 && tag <= 0xdb)
      skip = length(1 << (tag - 0xd9));
    else if (tag == 0xdc || tag == 0xdd)
      children = length(tag == 0xdc ? 2 : 4);
    else if (tag == 0xde || tag == 0xdf)
      children = 2 * length(tag == 0xde ? 2 : 4);
    else
      return false;  // extension types are not used
    if (skip > bytes.size() - at || children > bytes.size() - at) return false;
    at += skip;
    pending += children;
  }
  return at == bytes.size();
}

}  // namespace

// Writes to a std::string: msgpack_sbuffer reports a failed allocation by the return value of each pack
// function, which would leave a message incomplete.
Packer::Packer() { msgpack_packer_init(&packer_, this, append); }
int Packer::append(void* packer, const char* bytes, std::size_t size) {
  static_cast<Packer*>(packer)->buffer_.append(bytes, size);
  return 0;
}
void Packer::array(std::size_t size) { msgpack_pack_array(&packer_, size); }
void Packer::number(std::uint64_t value) { msgpack_pack_uint64(&packer_, value); }
void Packer::real(double value) { msgpack_pack_double(&packer_, value); }
void Packer::flag(bool value) { value ? msgpack_pack_true(&packer_) : msgpack_pack_false(&packer_); }
void Packer::text(std::string_view value) {
  msgpack_pack_bin(&packer_, value.size());
  msgpack_pack_bin_body(&packer_, value.data(), value.size());
}

Unpacker::Unpacker(std::string_view bytes) {
  msgpack_unpacked_init(&unpacked_);
  if (!lengths_fit(bytes)) return;
  std::size_t at = 0;
  msgpack_unpack_return result = MSGPACK_UNPACK_NOMEM_ERROR;
  while ((result = msgpack_unpack_next(&unpacked_, bytes.data(), bytes.size(), &at)) ==
         MSGPACK_UNPACK_NOMEM_ERROR) {
    allocation::make_room(bytes.size());
    at = 0;
  }
  if (result != MSGPACK_UNPACK_SUCCESS || at != bytes.size() || unpacked_.data.type != MSGPACK_OBJECT_ARRAY)
    return;
  good_ = true;
  arrays_[0] = unpacked_.data.via.array;
  next_[0] = 0;
  depth_ = 1;
}
Unpacker::~Unpacker() { msgpack_unpacked_destroy(&unpacked_); }

const msgpack_object* Unpacker::next() {
  if (!good_ || next_[depth_ - 1] >= arrays_[depth_ - 1].size) {
    fail();
    return nullptr;
  }
  return &arrays_[depth_ - 1].ptr[next_[depth_ - 1]++];
}

std::uint64_t Unpacker::number() {
  const msgpack_object* object = next();
  if (object && object->type == MSGPACK_OBJECT_POSITIVE_INTEGER) return object->via.u64;
  fail();
  return 0;
}

double Unpacker::real() {
  const msgpack_object* object = next();
  if (object && (object->type == MSGPACK_OBJECT_FLOAT64 || object->type == MSGPACK_OBJECT_FLOAT32))
    return object->via.f64;
  fail();
  return 0;
}

bool Unpacker::flag() {
  const msgpack_object* object = next();
  if (object && object->type == MSGPACK_OBJECT_BOOLEAN) return object->via.boolean;
  fail();
  return false;
}

std::string Unpacker::text() {
  const msgpack_object* object = next();
  if (object && object->type == MSGPACK_OBJECT_BIN) return {object->via.bin.ptr, object->via.bin.size};
  fail();
  return {};
}

std::size_t Unpacker::enter(std::size_t max_size) {
  const msgpack_object* object = next();
  if (!object || object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size > max_size ||
      depth_ == max_depth) {
    fail();
    return 0;
  }
  arrays_[depth_] = object->via.array;
  next_[depth_] = 0;
  ++depth_;
  return object->via.array.size;
}

void Unpacker::leave() {
  if (good_) --depth_;
}

}  // namespace pearspar::protocol

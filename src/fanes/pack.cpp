#include "fanes/pack.h"

namespace pearspar::fanes {

Packer::Packer() {
  msgpack_sbuffer_init(&buffer_);
  msgpack_packer_init(&packer_, &buffer_, msgpack_sbuffer_write);
}
Packer::~Packer() { msgpack_sbuffer_destroy(&buffer_); }
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
  std::size_t at = 0;
  if (msgpack_unpack_next(&unpacked_, bytes.data(), bytes.size(), &at) != MSGPACK_UNPACK_SUCCESS ||
      at != bytes.size() || unpacked_.data.type != MSGPACK_OBJECT_ARRAY)
    return;
  good_ = true;
  arrays_[0] = unpacked_.data.via.array;
  at_[0] = 0;
  depth_ = 1;
}
Unpacker::~Unpacker() { msgpack_unpacked_destroy(&unpacked_); }

const msgpack_object* Unpacker::next() {
  if (!good_ || at_[depth_ - 1] >= arrays_[depth_ - 1].size) {
    spoil();
    return nullptr;
  }
  return &arrays_[depth_ - 1].ptr[at_[depth_ - 1]++];
}

std::uint64_t Unpacker::number() {
  const msgpack_object* object = next();
  if (object && object->type == MSGPACK_OBJECT_POSITIVE_INTEGER) return object->via.u64;
  spoil();
  return 0;
}

double Unpacker::real() {
  const msgpack_object* object = next();
  if (object && (object->type == MSGPACK_OBJECT_FLOAT64 || object->type == MSGPACK_OBJECT_FLOAT32))
    return object->via.f64;
  spoil();
  return 0;
}

bool Unpacker::flag() {
  const msgpack_object* object = next();
  if (object && object->type == MSGPACK_OBJECT_BOOLEAN) return object->via.boolean;
  spoil();
  return false;
}

std::string Unpacker::text() {
  const msgpack_object* object = next();
  if (object && object->type == MSGPACK_OBJECT_BIN) return {object->via.bin.ptr, object->via.bin.size};
  spoil();
  return {};
}

std::size_t Unpacker::enter(std::size_t most) {
  const msgpack_object* object = next();
  if (!object || object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size > most ||
      depth_ == max_depth) {
    spoil();
    return 0;
  }
  arrays_[depth_] = object->via.array;
  at_[depth_] = 0;
  ++depth_;
  return object->via.array.size;
}

void Unpacker::leave() {
  if (good_) --depth_;
}

}  // namespace pearspar::fanes

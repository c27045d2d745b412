#include <glib.h>
#include <primroselead/hash.h>

#define SHA256_BYTES 32

struct prl_hash128 prl_digest_read(const unsigned char bytes[16])
{
	struct prl_hash128 out = {0};

	for (size_t i = 0; i < sizeof(out.high); i++) {
		out.high = out.high << 8 | bytes[i];
		out.low = out.low << 8 | bytes[i + sizeof(out.high)];
	}
	return out;
}

struct prl_hash128 prl_digest(const void *data, size_t len)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	guint8 bytes[SHA256_BYTES];
	gsize n = sizeof(bytes);

	g_checksum_update(sum, data, (gssize)len);
	g_checksum_get_digest(sum, bytes, &n);
	g_checksum_free(sum);
	return prl_digest_read(bytes);
}

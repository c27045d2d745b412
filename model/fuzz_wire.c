#include <primroselead/wire.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* The decoder accepts or rejects any datagram without a memory error. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct wire_request r;
	struct wire_args args;
	char *copy = malloc(size + 1);

	if (!copy)
		return 0;
	memcpy(copy, data, size);
	if (!wire_decode_call(copy, size, &r, &args))
		wire_args_free(&args);
	free(copy);
	return 0;
}

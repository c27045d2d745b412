#include "model.h"
#include <stdio.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* The bytes choose the events, and a generator with a fixed seed chooses after
 * them. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct model_input in = {.bytes = data, .nbytes = size, .seed = 1};
	struct model_result out;

	in.events = (long)(size / 4 + 50);
	if (model_run(&in, &out)) {
		fprintf(stderr, "event %ld: %s\n", out.events, out.failure);
		abort();
	}
	return 0;
}

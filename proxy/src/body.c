#include "body.h"
#include <stdlib.h>
#include <string.h>

size_t body_left(const struct body *b)
{
	return b->len - b->read;
}

size_t body_room(const struct body *b)
{
	return BODY_ROOM - body_left(b);
}

static void drop_read(struct body *b)
{
	memmove(b->data, b->data + b->read, body_left(b));
	b->len -= b->read;
	b->read = 0;
	b->dropped = 1;
}

size_t body_write(struct body *b, const char *data, size_t n)
{
	if (!b->data)
		b->data = malloc(BODY_ROOM);
	if (!b->data)
		return 0;
	if (n > BODY_ROOM - b->len && b->read)
		drop_read(b);
	if (n > BODY_ROOM - b->len)
		n = BODY_ROOM - b->len;
	memcpy(b->data + b->len, data, n);
	b->len += n;
	return n;
}

size_t body_read(struct body *b, char *data, size_t n)
{
	size_t left = body_left(b);

	if (n > left)
		n = left;
	if (n)
		memcpy(data, b->data + b->read, n);
	b->read += n;
	return n;
}

int body_rewind(struct body *b)
{
	if (b->dropped)
		return -1;
	b->read = 0;
	return 0;
}

void body_finish(struct body *b)
{
	free(b->data);
	memset(b, 0, sizeof(*b));
}

#include "body.h"
#include <stdlib.h>
#include <string.h>

/* Least bytes allocated; they double as they are needed. */
#define ROOM_MIN 2048

static size_t most(const struct body *b)
{
	return b->max ? b->max : BODY_ROOM;
}

size_t body_left(const struct body *b)
{
	return b->len - b->read;
}

size_t body_room(const struct body *b)
{
	return most(b) - body_left(b);
}

static void drop_read(struct body *b)
{
	memmove(b->data, b->data + b->read, body_left(b));
	b->len -= b->read;
	b->read = 0;
	b->dropped = 1;
}

/* Allocates up to the most that is allowed; less may come. */
static void grow(struct body *b, size_t want)
{
	size_t room = b->room ? b->room : ROOM_MIN;
	char *data;

	while (room < want && room < most(b))
		room *= 2;
	if (room > most(b))
		room = most(b);
	if (room <= b->room)
		return;
	data = realloc(b->data, room);
	if (!data)
		return;
	b->data = data;
	b->room = room;
}

size_t body_write(struct body *b, const char *data, size_t n)
{
	if (b->len + n > b->room)
		grow(b, b->len + n);
	if (n > b->room - b->len && b->read)
		drop_read(b);
	if (n > b->room - b->len)
		n = b->room - b->len;
	if (n)
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
	size_t max = b->max;

	free(b->data);
	memset(b, 0, sizeof(*b));
	b->max = max;
}

#include "response.h"
#include <primroselead/platform.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Moves one object of a page to the call's result. An object of another writer
 * whose name is longer than all of ours is left out. */
static enum prl_code take_object(struct store_call *c,
				 struct platform_object *from)
{
	struct store_object *o = &c->object[c->nobject];
	int kind = (int)strcspn(c->key, "/");
	int n = snprintf(o->key, sizeof(o->key), "%.*s/%s", kind, c->key,
			 from->name);

	if (n >= (int)sizeof(o->key))
		return PRL_OK;
	o->version = store_version(c->era, from->version);
	o->value = from->value ? from->value : calloc(1, 1);
	from->value = NULL;
	if (!o->value)
		return prl_error_set(&c->err, PRL_E_MEMORY,
				     "store: object \"%s\": out of memory",
				     o->key);
	o->len = strlen(o->value);
	c->nobject++;
	return PRL_OK;
}

static enum prl_code take_page(struct store_call *c, struct platform_page *page)
{
	size_t n = (size_t)c->nobject + (size_t)page->nobject + 1;
	struct store_object *more = realloc(c->object, n * sizeof(*more));
	enum prl_code rc = PRL_OK;

	if (!more)
		return prl_error_set(&c->err, PRL_E_MEMORY,
				     "store: list: out of memory");
	c->object = more;
	for (int i = 0; i < page->nobject && !rc; i++)
		rc = take_object(c, &page->object[i]);
	return rc;
}

static enum platform_response_type response_type(const struct store_call *c)
{
	switch (c->op) {
	case STORE_LIST:
		return PLATFORM_RESPONSE_LIST;
	case STORE_WATCH:
		return PLATFORM_RESPONSE_EVENTS;
	case STORE_GET:
	case STORE_PUT:
		break;
	}
	return PLATFORM_RESPONSE_OBJECT;
}

/* Whether the objects are those that the call asked for, and a list that goes
 * on has got on. */
static int is_answer(const struct store_call *c,
		     const struct platform_page *page)
{
	switch (c->op) {
	case STORE_LIST:
		return !page->has_more ||
		       (page->last_name &&
			(!c->after || strcmp(page->last_name, c->after) != 0));
	case STORE_WATCH:
		return 1;
	case STORE_GET:
	case STORE_PUT:
		break;
	}
	return !strcmp(page->object[0].name, c->key + strcspn(c->key, "/") + 1);
}

static enum prl_code read_page(struct store_call *c, struct platform_page *page)
{
	if (!is_answer(c, page))
		return prl_error_set(&c->err, PRL_E_PROTOCOL,
				     "store: the response to a call for \"%s\" "
				     "is not valid",
				     c->key);
	/* A list keeps the revision of its first page: changes after it may be
	 * missing from the pages and are read by the next watch. */
	if (!c->revision)
		c->revision = store_version(c->era, page->revision);
	c->has_more = page->has_more;
	free(c->after);
	c->after = page->last_name;
	page->last_name = NULL;
	return c->op == STORE_PUT ? PRL_OK : take_page(c, page);
}

static enum prl_code parse_page(struct store_call *c)
{
	struct platform_page page;
	enum prl_code rc;

	if (platform_page_parse(c->answer.body, c->answer.body_len,
				response_type(c), &page, &c->err))
		return c->err.code;
	rc = read_page(c, &page);
	platform_page_finish(&page);
	return rc;
}

enum prl_code store_parse_response(struct store_call *c)
{
	/* The response to a removal may be empty. */
	if (c->op == STORE_PUT && !c->len)
		return PRL_OK;
	if (!parse_page(c))
		return PRL_OK;
	/* A write whose response can't be read may have taken effect. */
	if (c->op == STORE_PUT)
		c->err.code = PRL_E_UNSETTLED;
	return c->err.code;
}

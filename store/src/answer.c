#include "answer.h"
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static enum prl_code bad(struct store_call *c, const char *what)
{
	return prl_fail(&c->err, PRL_E_PROTOCOL, "store, list \"%s\": %s",
			c->key, what);
}

static enum prl_code read_object(struct store_call *c, json_t *item,
				 struct store_object *o)
{
	const char *key;
	const char *value;
	json_int_t version;
	size_t len;

	if (json_unpack(item, "{s:s, s:I, s:s%}", "key", &key, "version",
			&version, "value", &value, &len))
		return bad(c, "an object is not valid");
	if (strlen(key) >= sizeof(o->key) || len > STORE_VALUE_MAX)
		return bad(c, "an object is too long");
	strcpy(o->key, key);
	o->version = version;
	o->value = malloc(len + 1);
	if (!o->value)
		return prl_fail(&c->err, PRL_E_MEMORY, "store, \"%s\"", key);
	memcpy(o->value, value, len);
	o->value[len] = 0;
	o->len = len;
	c->nobject++;
	return PRL_OK;
}

static enum prl_code read_objects(struct store_call *c, json_t *objects)
{
	size_t n = json_array_size(objects);
	enum prl_code rc;

	c->object = calloc(n + 1, sizeof(*c->object));
	if (!c->object)
		return prl_fail(&c->err, PRL_E_MEMORY, "store, list");
	for (size_t i = 0; i < n; i++) {
		rc = read_object(c, json_array_get(objects, i), &c->object[i]);
		if (rc)
			return rc;
	}
	return PRL_OK;
}

enum prl_code store_read_list(struct store_call *c)
{
	json_t *root = json_loadb(c->answer, c->nanswer, 0, NULL);
	json_t *objects;
	json_int_t revision;
	enum prl_code rc;

	if (!root)
		return bad(c, "the answer is not JSON");
	if (json_unpack(root, "{s:I, s:o}", "revision", &revision, "objects",
			&objects)) {
		json_decref(root);
		return bad(c, "the answer has no revision or no objects");
	}
	c->revision = revision;
	rc = read_objects(c, objects);
	json_decref(root);
	return rc;
}

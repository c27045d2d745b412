#include "ledger_row.h"
#include <jansson.h>
#include <limits.h>
#include <primroselead/ledger.h>
#include <stdlib.h>
#include <string.h>

/* Largest capacity in a ledger, in tokens. */
#define TOKENS_MAX (INT_MAX / 4)

/* The rows' shares of the capacity are summed in units of 1 / SHARE_SCALE. */
#define SHARE_SCALE 1000000000.0

static enum prl_code parse_error(struct prl_error *err, const char *pool_name,
				 const char *what)
{
	return prl_error_set(err, PRL_E_PROTOCOL, "ledger pool \"%s\": %s",
			     pool_name, what);
}

static enum prl_code parse_row(struct ledger_pool *p, json_t *item,
			       double *shares, struct prl_error *err)
{
	struct ledger_row row = {0};
	json_int_t incarnation;
	json_int_t tokens;
	json_int_t base;
	const char *vm;

	if (json_unpack(item, "{s:s, s:I, s:I, s:I}", "vm", &vm, "incarnation",
			&incarnation, "tokens", &tokens, "base", &base))
		return parse_error(
			err, p->name,
			"a row lacks a member or has one of a wrong type");
	if (!*vm || strlen(vm) >= LEDGER_NAME_MAX ||
	    ledger_find_row(p, vm, incarnation))
		return parse_error(err, p->name,
				   "the VM name of a row is empty, too long or "
				   "repeated");
	if (tokens < 1 || base < tokens || base > TOKENS_MAX)
		return parse_error(err, p->name,
				   "the tokens of a row are out of range");
	strcpy(row.vm, vm);
	row.incarnation = incarnation;
	row.tokens = (int)tokens;
	row.base_capacity = (int)base;
	*shares += SHARE_SCALE * (double)tokens / (double)base;
	return ledger_append_row(p, &row, err);
}

static enum prl_code parse_rows(struct ledger_pool *p, json_t *rows,
				struct prl_error *err)
{
	double shares = 0;

	for (size_t i = 0; i < json_array_size(rows); i++)
		if (parse_row(p, json_array_get(rows, i), &shares, err))
			return err ? err->code : PRL_E_PROTOCOL;
	/* Tolerates rounding errors, which are far below one token. */
	if (shares > SHARE_SCALE + 1)
		return parse_error(err, p->name,
				   "the rows together exceed the capacity");
	return PRL_OK;
}

static enum prl_code parse_pool(struct ledger *l, json_t *item,
				struct prl_error *err)
{
	const char *name;
	json_int_t capacity;
	json_int_t config;
	json_t *rows;
	struct ledger_pool *p;
	int npool;

	if (json_unpack(item, "{s:s, s:I, s:I, s:o}", "region", &name,
			"capacity", &capacity, "config", &config, "rows",
			&rows))
		return parse_error(
			err, "",
			"a pool lacks a member or has one of a wrong type");
	if (!*name || strlen(name) >= LEDGER_POOL_NAME_MAX || capacity < 0 ||
	    capacity > TOKENS_MAX)
		return parse_error(err, name,
				   "the name or the capacity is out of range");
	npool = l->npool;
	p = ledger_get_pool(l, name);
	if (!p || l->npool == npool)
		return parse_error(err, name,
				   "too many pools, or the pool is repeated");
	p->capacity = (int)capacity;
	p->config_version = config;
	return parse_rows(p, rows, err);
}

enum prl_code ledger_parse(struct ledger *l, const char *text, size_t len,
			   struct prl_error *err)
{
	json_t *root = json_loadb(text, len, 0, NULL);
	json_t *pools = json_object_get(root, "pools");
	enum prl_code rc = PRL_OK;

	ledger_init(l);
	if (!json_is_array(pools))
		rc = parse_error(err, "", "the text has no array \"pools\"");
	for (size_t i = 0; !rc && i < json_array_size(pools); i++)
		rc = parse_pool(l, json_array_get(pools, i), err);
	json_decref(root);
	if (rc)
		ledger_finish(l);
	return rc;
}

static json_t *format_pool(const struct ledger_pool *p)
{
	json_t *rows = json_array();

	for (int i = 0; i < p->nrow; i++) {
		const struct ledger_row *r = &p->row[i];

		json_array_append_new(
			rows, json_pack("{s:s, s:I, s:i, s:i}", "vm", r->vm,
					"incarnation",
					(json_int_t)r->incarnation, "tokens",
					r->tokens, "base", r->base_capacity));
	}
	return json_pack("{s:s, s:i, s:I, s:o}", "region", p->name, "capacity",
			 p->capacity, "config", (json_int_t)p->config_version,
			 "rows", rows);
}

char *ledger_format(const struct ledger *l)
{
	json_t *pools = json_array();
	json_t *root;
	char *text;

	for (int i = 0; i < l->npool; i++)
		json_array_append_new(pools, format_pool(&l->pool[i]));
	root = json_pack("{s:o}", "pools", pools);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

#include <inttypes.h>
#include <jansson.h>
#include <primroselead/config.h>
#include <primroselead/store.h>
#include <stdio.h>
#include <string.h>

static void copy_string(char *out, size_t size, json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	snprintf(out, size, "%s", text ? text : "");
}

enum prl_code config_vm_parse(const struct spread_object *o,
			      struct config_vm *out, struct prl_error *err)
{
	const char *name = o->key + strlen(STORE_PREFIX_VM);
	char word[16];
	json_t *root;

	memset(out, 0, sizeof(*out));
	snprintf(out->name, sizeof(out->name), "%.63s", name);
	if (!o->len) {
		out->state = STEER_GONE;
		return PRL_OK;
	}
	root = json_loadb(o->value, o->len, 0, NULL);
	if (!json_is_object(root)) {
		json_decref(root);
		return prl_error_set(
			err, PRL_E_PROTOCOL,
			"VM list: entry \"%s\" is not a JSON object", name);
	}
	copy_string(word, sizeof(word), root, "kind");
	out->is_entry = !strcmp(word, "entry");
	copy_string(word, sizeof(word), root, "state");
	out->state = strcmp(word, "leaving") ? STEER_ACTIVE : STEER_LEAVING;
	copy_string(out->region, sizeof(out->region), root, "region");
	copy_string(out->domain, sizeof(out->domain), root, "domain");
	copy_string(out->http, sizeof(out->http), root, "http");
	copy_string(out->rpc, sizeof(out->rpc), root, "rpc");
	json_decref(root);
	return PRL_OK;
}

struct steer_shift_progress config_progress_parse(const struct spread_object *o)
{
	struct steer_shift_progress p = {0};

	if (o && sscanf(o->value, "plan %" SCNx64 " share %d", &p.plan_id,
			&p.share_permille) != 2)
		memset(&p, 0, sizeof(p));
	return p;
}

void config_progress_format(const struct steer_shift_progress *p, char *text,
			    size_t size)
{
	snprintf(text, size, "plan %016" PRIx64 " share %d\n", p->plan_id,
		 p->share_permille);
}

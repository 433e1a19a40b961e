package fleet

import (
	"fmt"
	"slices"
	"strings"

	"rattanchute/internal/findings/jsonc"
)

// modelPathPrefix is the prefix of the paths for models; no service may use it.
const modelPathPrefix = "/v1/"

var methods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

func (v *validator) checkFleets() {
	all := jsonc.Path{}.Key("fleets")
	names := uniqueNames{doc: v.doc, what: "fleet"}
	models := uniqueNames{doc: v.doc, what: "model"}
	for i, f := range v.c.Fleets {
		at := all.Item(i)
		names.add(at.Key("name"), f.Name)
		v.fleets[f.Name] = true
		v.doc.CheckInt(at.Key("slots_per_endpoint"), int64(f.SlotsPerEndpoint), 1, maxSlots)
		switch f.Kind {
		case FleetModel:
			v.checkModelFleet(at, f, &models)
		case FleetService:
			v.checkServiceFleet(at, f, v.c.Fleets[:i])
		default:
			v.doc.Add(at.Key("kind"), fmt.Sprintf("fleet kind is %q", f.Kind), `accepted are "model" and "service"`)
		}
	}
}

func (v *validator) checkModelFleet(at jsonc.Path, f Fleet, models *uniqueNames) {
	if len(f.Models) == 0 {
		v.doc.Add(at.Key("models"), "the model fleet has no models", "accepted is at least one model name")
	}
	for i, model := range f.Models {
		p := at.Key("models").Item(i)
		if !modelName.MatchString(model) {
			v.doc.Add(p, fmt.Sprintf("model name is %q", model), acceptedModelName)
			continue
		}
		models.addOnly(p, model)
	}
	if f.PathPrefix != "" {
		v.doc.Add(at.Key("path_prefix"), "a model fleet has a path prefix", `accepted is a path prefix with kind "service" only`)
	}
	if len(f.Calls) > 0 {
		v.doc.Add(at.Key("calls"), "a model fleet declares calls", `accepted are calls with kind "service" only`)
	}
}

func (v *validator) checkServiceFleet(at jsonc.Path, f Fleet, before []Fleet) {
	if len(f.Models) > 0 {
		v.doc.Add(at.Key("models"), "a service fleet has models", `accepted are models with kind "model" only`)
	}
	v.checkPathPrefix(at.Key("path_prefix"), f.PathPrefix, before)
	v.checkCalls(at.Key("calls"), f)
}

func (v *validator) checkPathPrefix(p jsonc.Path, prefix string, before []Fleet) {
	if !isPath(prefix) || !strings.HasSuffix(prefix, "/") {
		v.doc.Add(p, fmt.Sprintf("path prefix is %q", prefix), `accepted is a path that begins and ends with "/", such as "/renew/"`)
		return
	}
	if overlaps(prefix, modelPathPrefix) {
		v.doc.Add(p, fmt.Sprintf("path prefix %q overlaps the models' paths", prefix), fmt.Sprintf("accepted is a prefix outside %q", modelPathPrefix))
	}
	for _, other := range before {
		if other.Kind == FleetService && other.PathPrefix != "" && overlaps(prefix, other.PathPrefix) {
			message := fmt.Sprintf("path prefix %q overlaps %q of fleet %q", prefix, other.PathPrefix, other.Name)
			v.doc.Add(p, message, "accepted is a prefix of its own for each fleet")
		}
	}
}

func (v *validator) checkCalls(p jsonc.Path, f Fleet) {
	seen := map[string]bool{}
	for i, call := range f.Calls {
		at := p.Item(i)
		if !slices.Contains(methods, call.Method) {
			v.doc.Add(at.Key("method"), fmt.Sprintf("method is %q", call.Method), "accepted are "+strings.Join(methods, ", "))
		}
		v.checkCallPath(at.Key("path"), call.Path, f.PathPrefix)
		key := call.Method + " " + call.Path
		if seen[key] {
			v.doc.Add(at, fmt.Sprintf("call %q is declared twice", key), "accepted is each method and path once")
		}
		seen[key] = true
	}
}

func (v *validator) checkCallPath(p jsonc.Path, path, prefix string) {
	plain := strings.TrimSuffix(path, "*")
	if !isPath(plain) || strings.Contains(plain, "*") {
		v.doc.Add(p, fmt.Sprintf("path is %q", path), `accepted is a path, with "*" at its end only`)
		return
	}
	if !strings.HasPrefix(plain, prefix) {
		v.doc.Add(p, fmt.Sprintf("path %q is outside the fleet's prefix", path), fmt.Sprintf("accepted is a path under %q", prefix))
	}
}

func overlaps(a, b string) bool {
	return strings.HasPrefix(a, b) || strings.HasPrefix(b, a)
}

func isPath(s string) bool {
	return strings.HasPrefix(s, "/") && !strings.ContainsAny(s, "?# %\\\t\r\n") && !strings.Contains(s, "//")
}

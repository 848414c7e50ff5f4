import * as fs from "node:fs";
import tseslint from "typescript-eslint";

const VERBS = new Set(
  fs.readFileSync(new URL("docs/verbs.md", import.meta.url), "utf8")
    .split("\n\n").at(-1).split(/\s+/).filter((word) => word !== ""),
);

const verbRule = {
  meta: { type: "suggestion", schema: [] },
  create(context) {
    function checkName(node) {
      const verb = /^[a-z]+/.exec(node.name)?.[0];
      if (verb !== undefined && VERBS.has(verb)) return;
      context.report({ node, message: `Function name '${node.name}' must begin with a verb from docs/verbs.md` });
    }
    return {
      "FunctionDeclaration > Identifier.id": checkName,
      "MethodDefinition[kind='method'] > Identifier.key": checkName,
      "MethodDefinition[kind='method'] > PrivateIdentifier.key": checkName,
    };
  },
};

export default tseslint.config(
  { ignores: ["dist/**", "out/**", "target/**", "node_modules/**"] },
  ...tseslint.configs.recommended,
  {
    files: ["src/**/*.ts", "tools/**/*.ts", "platform/**/*.ts"],
    plugins: { hoistscale: { rules: { verb: verbRule } } },
    rules: {
      "hoistscale/verb": "error",
      "curly": ["error", "multi-line"],
      "eqeqeq": "error",
      "no-var": "error",
      "prefer-const": "error",
      "max-params": ["error", 4],
      "max-lines": ["error", { max: 340 }],
      "max-lines-per-function": ["error", { max: 70, skipComments: true, skipBlankLines: true }],
      "require-yield": "off",
      "@typescript-eslint/consistent-type-imports": "error",
      "@typescript-eslint/switch-exhaustiveness-check": "off",
      "no-restricted-syntax": ["error", {
        selector: "ImportDeclaration > ImportSpecifier",
        message: "Use a namespace import.",
      }, {
        selector: "VariableDeclaration[kind='const'] > VariableDeclarator > ArrowFunctionExpression.init",
        message: "Use a function declaration.",
      }],
    },
  },
  {
    files: ["src/**/*_test.ts", "tools/**/*_test.ts", "platform/**/*_test.ts"],
    rules: {
      "max-lines-per-function": "off",
      "@typescript-eslint/no-unused-expressions": "off",
    },
  },
);

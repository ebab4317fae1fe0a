import * as tseslint from "typescript-eslint";

const namespaceImportsOnly = [
    "ImportDeclaration > ImportSpecifier",
    "ImportDeclaration > ImportDefaultSpecifier",
].map(selector => ({ selector, message: "Import the whole namespace: import * as name from ..." }));

export default tseslint.config(
    { ignores: ["node_modules", "dist", "target"] },
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": "error",
            "@typescript-eslint/await-thenable": "error",
            "@typescript-eslint/switch-exhaustiveness-check": "error",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^$", caughtErrors: "none" }],
            "@typescript-eslint/naming-convention": [
                "error",
                {
                    selector: "typeLike",
                    format: ["PascalCase"],
                    custom: { regex: "^I[A-Z]|(Interface|Type|Impl)$", match: false },
                },
                { selector: "function", format: ["camelCase"], leadingUnderscore: "forbid" },
                {
                    selector: "classProperty",
                    modifiers: ["private"],
                    format: ["camelCase"],
                    leadingUnderscore: "forbid",
                },
            ],
            curly: ["error", "all"],
            eqeqeq: "error",
            "one-var": ["error", "never"],
            "prefer-const": "error",
            "max-lines": ["error", { max: 350 }],
            "no-restricted-syntax": [
                "error",
                ...namespaceImportsOnly,
                { selector: "Literal[raw='null']", message: "Use undefined." },
            ],
        },
    },
    { files: ["typings/*.d.ts"], rules: { "max-lines": "off" } },
);
